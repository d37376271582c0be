"""A part of a prompt crashes each engine that begins to write an answer on it."""

import asyncio
import pathlib
import random
import sys
import time

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "lib"))

import engine_standin
import fleet as fleets
import wire

ENGINES = 9  # as at the small site klw-badgeflow
GATEWAYS = 2
BACK_S = 3.0  # an engine is back after some seconds
PLAYED_S = 30.0
DEADLY_GAP_S = 0.7
SOUND_GAP_S = 0.08
CONTACT_S = 3.0
DEADLY_PART = "5c1e07a2"
MOST_LATE = 3

CONFIG = {
    "version": 1,
    "routes": [
        {"name": "layout-draft", "host": "shop.example", "pathPrefix": "/draft/", "kind": "stream", "timeoutMs": 15000,
         "goalMs": 1200, "priority": 1, "service": "draft-llm", "maxAttempts": 1, "public": True, "sticky": True,
         "resumable": False, "gapTargetMs": 400},
    ],
    "services": [
        {"name": "draft-llm", "healthPath": "/healthz", "maxConns": 360, "protocol": "h1", "tls": False,
         "engine": {"slots": 64, "kvCapacity": 563819}},
    ],
    "limits": fleets.LIMITS,
}


class ModelEngine(engine_standin.Engine):
    """Crashes as it begins to write an answer on the deadly part: its first event is out by then."""

    def __init__(self, fleet, engine_id, log, **place):
        super().__init__(fleet, engine_id, "draft-llm", **place)
        self.log = log

    async def run(self, message, writer):
        request = message.header("X-Eelgrassbend-Request-Id")
        is_deadly = DEADLY_PART + ":" in message.header("X-Eelgrassbend-Prefix-Hash")
        self.fleet.record(self.id, "gets", request, "with the deadly part" if is_deadly else "")
        if is_deadly:
            self.log["reached"].append(time.monotonic())
        await asyncio.sleep(0.08)  # reads the prompt
        writer.write(engine_standin.stream_head(request, f"{self.id}.{request}"))
        for number in range(1, 7):
            writer.write(engine_standin.event(number, "draft"))
            if is_deadly:
                await writer.drain()
                self.log["crashes"].append(time.monotonic())
                self.log["back"].append(asyncio.create_task(self.come_back()))
                self.crash()
                return False
            await asyncio.sleep(0.03)
        writer.write(wire.LAST_CHUNK)
        return None

    async def come_back(self):
        await asyncio.sleep(BACK_S)
        await ModelEngine(self.fleet, self.id, self.log, ip=self.server.ip, port=self.server.port).start()


async def send(fleet, parts, name, counts):
    gateway, request = random.choice(fleet.gateways), fleets.new_id()
    fleet.record("client sends", request, f"({name}) to", gateway.name)
    try:
        status, _, _ = await fleets.call(
            gateway.ip, 8221, "POST", "/draft/layout",
            [("Host", "shop.example"), ("X-Eelgrassbend-Request-Id", request), ("X-Eelgrassbend-Model", "m"),
             ("X-Eelgrassbend-Token-Usage", "1112,360"), ("X-Eelgrassbend-Prefix-Hash", parts),
             ("X-Eelgrassbend-Deadline-Ms", "15000")], b"draft")
    except (OSError, ValueError, asyncio.IncompleteReadError, ConnectionError):
        status = "broken off"
    fleet.record("client got", request, status)
    counts[(name, status)] = counts.get((name, status), 0) + 1


async def play(fleet):
    log = {"reached": [], "crashes": [], "back": []}
    counts = {}
    await fleet.start(CONFIG)
    for index in range(ENGINES):
        await ModelEngine(fleet, f"i-{index:02}", log).start()
    await asyncio.sleep(2.5)
    begun = time.monotonic()
    tasks = []
    next_deadly = begun + 2.0
    while time.monotonic() - begun < PLAYED_S:
        context = f"{random.randrange(8):x}a0:400"
        tasks.append(asyncio.create_task(send(fleet, f"91bd3f06:512,{context},{fleets.new_id()}:200", "sound", counts)))
        if fleets.trouble() and time.monotonic() >= next_deadly:
            next_deadly += DEADLY_GAP_S
            parts = f"91bd3f06:512,{DEADLY_PART}:400,{fleets.new_id()}:200"
            tasks.append(asyncio.create_task(send(fleet, parts, "deadly", counts)))
        await asyncio.sleep(SOUND_GAP_S)
    await asyncio.gather(*tasks)

    crashes, late = log["crashes"], []
    if len(crashes) >= 5:
        late = [when for when in log["reached"] if when > crashes[4] + CONTACT_S]
    fleet.record(f"answers {counts}")
    fleet.record(f"BUDGET: {len(crashes)} crashes; {len(late)} requests with the deadly part reached engines later "
                 f"than {CONTACT_S} s after the fifth")
    return len(late) <= MOST_LATE


fleets.main(play, HERE, GATEWAYS)
