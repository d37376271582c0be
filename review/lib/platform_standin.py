"""A stand-in of the users' platform: the store in its form `log`, and the calls of the duties."""

import asyncio
import base64
import json
import struct
import urllib.parse

import wire

MOST_ITEMS = 500
MOST_BYTES = 1_000_000


class Topic:
    def __init__(self, keyed):
        self.keyed = keyed
        self.records = []  # contents; the index is the offset
        self.newest = {}  # key: (value, offset)
        self.changed = asyncio.Event()

    def append(self, content):
        offset = len(self.records)
        self.records.append(content)
        if self.keyed:
            length = content[0]
            key = content[1 : 1 + length].decode()
            value = content[1 + length :]
            if value:
                self.newest[key] = (value, offset)
            else:
                self.newest.pop(key, None)
        self.changed.set()
        self.changed = asyncio.Event()
        return offset


class Platform:
    """Loses nothing that it acknowledged, and answers each call at once."""

    def __init__(self, ip, record):
        self.record = record
        self.topics = {}
        self.usage = []
        self.orders = []
        self.fences = {}
        self.calls = {}
        self.malformed = 0
        self.store = wire.Server(ip, 0, self.handle_store)
        self.cloud = wire.Server(ip, 0, self.handle_cloud)

    async def start(self):
        await self.store.start()
        await self.cloud.start()
        return self

    def topic(self, name):
        if name not in self.topics:
            self.topics[name] = Topic(name.startswith("keyed."))
        return self.topics[name]

    def write(self, topic, key, value):
        """A record of an operator or an engine; without a value the key is dropped."""
        text = b"" if value is None else value if isinstance(value, bytes) else json.dumps(value).encode()
        name = key.encode()
        return self.topic("keyed." + topic).append(bytes([len(name)]) + name + text)

    async def handle_store(self, message, writer, _):
        if len(message.start) != 3 or not message.start[2].startswith("HTTP/1."):
            self.malformed += 1
            self.record("store gets a malformed request line:", " ".join(message.start))
            writer.write(wire.answer(400))
            return False
        url = urllib.parse.urlsplit(message.start[1])
        query = dict(urllib.parse.parse_qsl(url.query))
        self.calls[url.path] = self.calls.get(url.path, 0) + 1
        topic = self.topic(query.get("topic", ""))
        if url.path == "/-/log-append":
            writer.write(self.append(topic, query, message.body))
        elif url.path == "/-/log-read":
            writer.write(await self.read(topic, query))
        elif url.path == "/-/log-newest":
            writer.write(self.newest(topic, query))
        else:
            writer.write(wire.answer(404))

    def append(self, topic, query, body):
        if query["topic"] in ("keyed.op", "keyed.servers"):
            return wire.answer(403)
        end = len(topic.records)
        if "at" in query and int(query["at"]) != end:
            return wire.answer(412, [("Content-Type", "application/json")], json.dumps({"endOffset": end}).encode())
        place = 0
        while place < len(body):
            (length,) = struct.unpack_from(">I", body, place)
            topic.append(body[place + 4 : place + 4 + length])
            place += 4 + length
        text = json.dumps({"offset": end, "endOffset": len(topic.records)}).encode()
        return wire.answer(200, [("Content-Type", "application/json")], text)

    async def read(self, topic, query):
        start = int(query["from"])
        wait = int(query.get("waitMs", "0")) / 1000
        if start >= len(topic.records) and wait > 0:
            try:
                await asyncio.wait_for(topic.changed.wait(), wait)
            except asyncio.TimeoutError:
                pass
        body = struct.pack(">QQ", len(topic.records), 0)
        for content in topic.records[start:]:
            if len(body) > 1024 * 1024:
                break
            body += struct.pack(">I", len(content)) + content
        return wire.answer(200, [("Content-Type", "application/octet-stream")], body)

    def newest(self, topic, query):
        items, size, more = [], 0, False
        for key in sorted(topic.newest):
            if "after" in query and key <= query["after"]:
                continue
            value, offset = topic.newest[key]
            if len(items) == MOST_ITEMS or (items and size + len(value) > MOST_BYTES):
                more = True
                break
            size += len(value)
            items.append({"key": key, "value": base64.b64encode(value).decode(), "offset": offset})
        text = json.dumps({"items": items, "more": more, "endOffset": len(topic.records)}).encode()
        return wire.answer(200, [("Content-Type", "application/json")], text)

    async def handle_cloud(self, message, writer, _):
        holder = message.header("X-Eelgrassbend-Duty-Holder")
        token = int(message.header("X-Eelgrassbend-Fence-Token", "0"))
        call = json.loads(message.body or b"{}")
        path = message.start[1]
        subject = (path, call.get("service"), call.get("zone"))
        if token < self.fences.get(subject, 0):
            writer.write(wire.answer(409))
            return
        self.fences[subject] = token
        (self.usage if path == "/usage" else self.orders).append((holder, token, call))
        writer.write(wire.answer(200))
