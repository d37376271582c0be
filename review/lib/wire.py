"""HTTP/1.1 on asyncio streams, as much of it as the stand-ins and the clients need."""

import asyncio
import dataclasses

MOST_LINE = 1 << 20


@dataclasses.dataclass
class Message:
    """A request or an answer; `start` is the first line, split at spaces."""

    start: list
    headers: list
    body: bytes = b""

    def header(self, name, default=""):
        for key, value in self.headers:
            if key.lower() == name.lower():
                return value
        return default


async def read_head(reader):
    """The first line and the headers; None if the peer closed the connection before a byte."""
    line = await reader.readline()
    if not line:
        return None
    headers = []
    while True:
        text = (await reader.readline()).decode("latin-1")
        if not text:
            raise ConnectionError("connection ended inside a head")
        text = text.rstrip("\r\n")
        if not text:
            return Message(line.decode("latin-1").rstrip("\r\n").split(" ", 2), headers)
        key, _, value = text.partition(":")
        headers.append((key.strip(), value.strip()))


async def read_chunk(reader):
    """The next chunk of a chunked body; empty at its end."""
    size = int((await reader.readline()).split(b";")[0], 16)
    data = await reader.readexactly(size)
    await reader.readexactly(2)
    return data


async def read_body(reader, message):
    """Reads a body that has a length or is chunked."""
    if message.header("Transfer-Encoding").lower() == "chunked":
        while data := await read_chunk(reader):
            message.body += data
        return
    message.body = await reader.readexactly(int(message.header("Content-Length", "0") or 0))


async def read_message(reader):
    message = await read_head(reader)
    if message is not None:
        await read_body(reader, message)
    return message


def answer(status, headers=(), body=b"", reason="Answer"):
    lines = [f"HTTP/1.1 {status} {reason}"]
    lines += [f"{key}: {value}" for key, value in headers]
    lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join(lines).encode("latin-1") + b"\r\n\r\n" + body


def chunk(data):
    return b"%x\r\n%s\r\n" % (len(data), data)


LAST_CHUNK = b"0\r\n\r\n"


class Server:
    """Accepts connections on one address; `handle(message, writer, reader)` answers a request and
    returns False if the connection has to be closed."""

    def __init__(self, ip, port, handle):
        self.ip, self.port, self.handle = ip, port, handle
        self.server = None
        self.writers = set()

    @property
    def address(self):
        return f"{self.ip}:{self.port}"

    async def start(self):
        self.server = await asyncio.start_server(self.serve, self.ip, self.port, backlog=512, limit=MOST_LINE)
        self.port = self.server.sockets[0].getsockname()[1]
        return self

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while (message := await read_message(reader)) is not None:
                if await self.handle(message, writer, reader) is False:
                    break
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError, ValueError, OSError, asyncio.CancelledError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    def close(self):
        """The listener is closed, and so are all connections."""
        self.server.close()
        for writer in list(self.writers):
            writer.close()

    def crash(self):
        """The listener and all connections go away at once, as when the process is killed."""
        self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()
