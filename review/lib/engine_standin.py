"""A stand-in of an engine: what PROTOCOL.md says of all of them. A case adds how it runs requests."""

import json

import wire


class Engine:
    """Registers itself in the store; `run` answers a request that it takes."""

    def __init__(self, fleet, engine_id, service, ip=None, port=0, **entry):
        self.fleet, self.id, self.service, self.entry = fleet, engine_id, service, entry
        self.server = wire.Server(ip or fleet.new_ip(), port, self.handle)
        self.is_leaving = False

    @property
    def address(self):
        return self.server.address

    async def start(self):
        await self.server.start()
        self.fleet.servers.append(self.server)
        self.fleet.register(self.id, self.service, self.address, **self.entry)
        self.fleet.record(self.id, "is ready at", self.address)
        return self

    def drain(self):
        """Reports the state `draining`; the engine goes on to serve."""
        self.is_leaving = True
        self.fleet.beats[self.id]["state"] = "draining"
        self.fleet.write_beat(self.id)
        self.fleet.record(self.id, "reports draining")

    def leave(self):
        """Ends after a planned shutdown: the entry is removed, the connections are closed."""
        self.fleet.unregister(self.id)
        self.server.close()
        self.fleet.record(self.id, "has left")

    def crash(self):
        """Ends like a killed process; its entry stays until it expires."""
        self.fleet.beats.pop(self.id, None)
        self.server.crash()
        self.fleet.record(self.id, "crashes")

    def report(self):
        return {"stage": "prefill_decode", "models": [{"name": "m", "version": 1, "adapters": []}], "busy": False,
                "seq": 1, "queued": 0, "running": 0, "kvUsed": 0, "kvTotal": 563819, "handles": 0,
                "state": "draining" if self.is_leaving else "ready"}

    async def handle(self, message, writer, reader):
        path = message.start[1]
        if path == "/healthz":
            headers = [("X-Eelgrassbend-Instance-Id", self.id)]
            writer.write(wire.answer(503 if self.is_leaving else 200, headers))
            return None
        if path == "/-/report":
            writer.write(wire.answer(200, [("Content-Type", "application/json")], json.dumps(self.report()).encode()))
            return None
        if path.startswith("/-/"):
            return await self.control(message, writer)
        expected = message.header("X-Eelgrassbend-Expect-Instance")
        if expected and expected != self.id:
            writer.write(wire.answer(421, [("X-Eelgrassbend-Instance-Id", self.id)]))
            return None
        if not message.header("X-Eelgrassbend-Request-Id"):
            writer.write(wire.answer(400, [("X-Eelgrassbend-Not-Executed", "1")]))
            return None
        return await self.run(message, writer)

    async def control(self, message, writer):
        writer.write(wire.answer(404))

    async def run(self, message, writer):
        raise NotImplementedError


def proof(request_id, seal):
    return [("X-Eelgrassbend-Request-Id", request_id), ("X-Eelgrassbend-Response-Seal", seal)]


def stream_head(request_id, seal):
    lines = ["HTTP/1.1 200 OK"] + [f"{key}: {value}" for key, value in proof(request_id, seal)]
    lines += ["Content-Type: text/event-stream", "Transfer-Encoding: chunked"]
    return "\r\n".join(lines).encode() + b"\r\n\r\n"


def event(number, data):
    return wire.chunk(f"id: {number}\ndata: {data}\n\n".encode())
