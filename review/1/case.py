"""A stream that may not run twice, on an engine that is reclaimed, while another engine is cut off."""

import asyncio
import json
import pathlib
import socket
import sys
import time

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "lib"))

import engine_standin
import fleet as fleets
import wire

ENGINES = 9  # as at the small site klw-badgeflow
STREAMS = 40
EVENTS = 60
PACE_S = 0.1  # between two events
NOTICE_S = 2.5  # scale_in, how reclaim: gone 2.5 s after the notice
CUT_AFTER_S = 1.2  # after the notice; the moves start a second before the engine is gone
CUT_S = 5.0

CONFIG = {
    "version": 1,
    "routes": [
        {"name": "layout-draft", "host": "shop.example", "pathPrefix": "/draft/", "kind": "stream", "timeoutMs": 15000,
         "goalMs": 1200, "priority": 1, "service": "draft-llm", "maxAttempts": 1, "public": True, "sticky": True,
         "resumable": False, "gapTargetMs": 400},
    ],
    "services": [
        {"name": "draft-llm", "healthPath": "/healthz", "maxConns": 360, "protocol": "h1", "tls": False,
         "engine": {"slots": 64, "kvCapacity": 563819, "kvTokenBytes": 18432, "linkMbps": 550000.0, "moves": True,
                    "stride": 6, "handleS": 5.0, "models": [{"name": "m"}]}},
    ],
    "limits": fleets.LIMITS,
}


class ModelEngine(engine_standin.Engine):
    """Streams events; moves runs to other engines as PROTOCOL.md says of `/-/kv-move`."""

    def __init__(self, fleet, engine_id, kept, **entry):
        super().__init__(fleet, engine_id, "draft-llm", **entry)
        self.kept = kept  # handles of stopped runs, of all engines: (address/handle, target) -> run
        self.runs = {}
        self.gone_at = None
        self.begun = []  # (request, a new run or one that goes on, last event)

    def report(self):
        report = super().report()
        if self.gone_at is not None:
            report["leaves_ms"] = max(0, int((self.gone_at - time.monotonic()) * 1000))
        return report

    async def control(self, message, writer):
        if message.start[1] != "/-/kv-move":
            writer.write(wire.answer(404))
            return
        call = json.loads(message.body)
        run = self.runs.get(call["id"])
        if run is None:
            writer.write(wire.answer(404))
            return
        run["stop"].set()
        await run["stopped"].wait()
        handle = fleets.new_id()
        self.kept[f"{self.address}/{handle}"] = run
        self.fleet.record(self.id, "stopped", call["id"], "after event", run["made"], "and copied it to", call["target"])
        text = json.dumps({"handle": handle, "created": run["made"]}).encode()
        writer.write(wire.answer(200, [("Content-Type", "application/json")], text))

    async def run(self, message, writer):
        request = message.header("X-Eelgrassbend-Request-Id")
        source = message.header("Kv-From")
        last = int(message.header("Last-Event-Id") or 0)
        before = self.kept.pop(source, None) if source else None
        if source and before is None:
            writer.write(wire.answer(503, [("X-Eelgrassbend-Not-Executed", "1")]))
            return None
        is_new = before is None
        name = fleets.new_id()[:6] if is_new else before["name"]
        self.begun.append((request, is_new))
        self.fleet.record(self.id, "begins a new run" if is_new else "goes on with run", name, "of", request,
                          "after event", last)
        run = {"name": name, "made": last, "stop": asyncio.Event(), "stopped": asyncio.Event()}
        self.runs[request] = run
        writer.write(engine_standin.stream_head(request, f"{self.id}.{name}"))
        while run["made"] < EVENTS and not run["stop"].is_set() and not writer.is_closing():
            run["made"] += 1
            writer.write(engine_standin.event(run["made"], f"run {name}"))
            try:
                await asyncio.wait_for(run["stop"].wait(), PACE_S)
            except asyncio.TimeoutError:
                pass
        del self.runs[request]
        if run["made"] == EVENTS:
            writer.write(wire.LAST_CHUNK)
            return None
        writer.close()  # the stream ends without its end
        run["stopped"].set()
        return False


class Cut:
    """No packet of the system's machines reaches the engine: a connection is neither accepted nor refused."""

    def __init__(self, engine):
        self.engine = engine
        self.listener = None
        self.waiting = []

    def start(self):
        server = self.engine.server
        server.close()
        self.listener = socket.socket()
        self.listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self.listener.bind((server.ip, server.port))
        self.listener.listen(0)
        for _ in range(4):  # with its queue full, the kernel answers no further opening packet
            filler = socket.socket()
            filler.setblocking(False)
            filler.connect_ex((server.ip, server.port))
            self.waiting.append(filler)
        self.engine.fleet.record(self.engine.id, "is cut off")

    async def heal(self):
        for filler in self.waiting + [self.listener]:
            filler.close()
        await self.engine.server.start()
        self.engine.fleet.record(self.engine.id, "is reached again")


async def send(fleet, results):
    request = fleets.new_id()
    fleet.record("client sends", request)
    names = []
    try:
        status, _, body = await fleets.call(
            fleet.gateways[0].ip, 8221, "POST", "/draft/layout",
            [("Host", "shop.example"), ("X-Eelgrassbend-Request-Id", request), ("X-Eelgrassbend-Model", "m"),
             ("X-Eelgrassbend-Token-Usage", "1600,360"), ("X-Eelgrassbend-Deadline-Ms", "15000")], b"draft")
        for line in body.decode().splitlines():
            if line.startswith("data: ") and line[6:] not in names:
                names.append(line[6:])
    except (OSError, asyncio.IncompleteReadError, ValueError, ConnectionError) as failure:
        status = "broken off: " + type(failure).__name__
    results[request] = (status, names)
    fleet.record("client got", request, status, "with pieces of", ", ".join(names) or "no run")


async def play(fleet):
    kept = {}
    await fleet.start(CONFIG)
    leaving = await ModelEngine(fleet, "i-00", kept, zone="arusha-a", spot=True).start()
    await asyncio.sleep(1.5)
    results = {}
    clients = [asyncio.create_task(send(fleet, results)) for _ in range(STREAMS)]
    await asyncio.sleep(0.5)
    others = [await ModelEngine(fleet, f"i-{index:02}", kept, zone="arusha-b").start() for index in range(1, ENGINES)]
    await asyncio.sleep(1.5)
    leaving.gone_at = time.monotonic() + NOTICE_S
    leaving.drain()
    await asyncio.sleep(CUT_AFTER_S)
    cut = Cut(others[0])
    if fleets.trouble():
        cut.start()
    await asyncio.sleep(NOTICE_S - CUT_AFTER_S)
    leaving.leave()
    await asyncio.sleep(CUT_S - NOTICE_S + CUT_AFTER_S)
    if fleets.trouble():
        await cut.heal()
    await asyncio.gather(*clients)

    moved = sum(1 for engine in others for _, is_new in engine.begun if not is_new)
    if moved == 0:
        raise fleets.CannotRun("no run was moved")
    new_runs = {}
    for engine in [leaving] + others:
        for request, is_new in engine.begun:
            if is_new:
                new_runs.setdefault(request, []).append(engine.id)
    twice = {request: engines for request, engines in new_runs.items() if len(engines) > 1}
    joined = [request for request, (status, names) in results.items() if status == 200 and len(names) > 1]
    fleet.record(f"{len(new_runs)} requests ran, {moved} runs went on at another engine")
    fleet.record(f"TWICE: {len(twice)} requests that may run once at most ran as two runs: {twice}")
    fleet.record(f"ORDER: {len(joined)} complete answers join the pieces of two runs: {joined}")
    return not twice and not joined


fleets.main(play, HERE)
