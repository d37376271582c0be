"""A node that the store has turned away confirms an old configuration after the first page."""

import asyncio
import pathlib
import sys
import time

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "lib2"))
import standins as s  # noqa: E402

TURNED_AWAY_S = 9.0     # platform_down of the site file: how = "nodes busy ...", for_s = 9.0
FIRST_STORM = (25, 0.08)   # config_storm of trouble-2: for_s = 2.0, gap_s = 0.08
SECOND_STORM = (5, 0.33)   # a part of the listed config_storm: for_s = 4.0, gap_s = 0.33
MORE_ROUTES = 350          # big_config of the site file: count = 350
REQUESTS_PER_S = 50
KEPT, TAKEN = "kept-key-0001", "taken-key-0001"


def make_configuration(version, keys):
    routes = [s.route("lookup", "/lookup/", "order-desk", "idempotent", 600, 100, 2)]
    routes += [s.route(f"more-{index}", f"/more{index:04d}/", "order-desk", "idempotent", 600,
                       100, 2) for index in range(MORE_ROUTES + version % 7)]
    return s.configuration(version, routes, [s.service("order-desk")], [s.tenant("lodge", keys)])


class Case:
    def __init__(self, record):
        self.record = record
        self.fleet = s.Fleet(record)
        self.store = self.fleet.store
        self.version = 2
        self.sent = {}      # request id -> time
        self.statuses = {}  # status -> number, after the bound

    def write_configuration(self, keys):
        self.version += 2
        self.store.put("keyed.op", "config", make_configuration(self.version, keys))

    async def start(self):
        self.write_configuration([KEPT, TAKEN])
        for index, zone in enumerate(("zone-a", "zone-b")):
            engine = s.Engine(f"{self.fleet.net}.{101 + index}", f"i-desk-{index}", "order-desk",
                              zone, self.store, self.record, None, slots=6)
            engine.answer = lambda request, writer, engine=engine: self.run(engine, request)
            self.fleet.engines.append(engine)
            await engine.start()
        await self.fleet.start(2)
        await self.fleet.wait_ready()

    @staticmethod
    async def run(engine, request):
        engine.note_run(request)
        await asyncio.sleep(0.015)
        return s.answer_bytes(200, engine.proof(request), b"x" * 800)

    async def send_one(self, node):
        request_id = s.new_id()
        self.sent[request_id] = self.record.now()
        answer = await s.ask(node.ip, node.front, s.request_bytes(
            "GET", "/lookup/1", request_id, TAKEN, deadline_ms=600), 2.0)
        return answer.status

    async def send_with_taken_key(self, node, until, tasks):
        while self.record.now() < until:
            tasks.append(asyncio.create_task(self.send_one(node)))
            await asyncio.sleep(1.0 / REQUESTS_PER_S)

    async def storm(self, changes, gap_s):
        for _ in range(changes):
            self.write_configuration([KEPT, TAKEN])
            await asyncio.sleep(gap_s)

    async def play(self):
        await self.start()
        node = self.fleet.nodes[0]
        await asyncio.sleep(1.0)
        turned_away_at = self.record.now()
        if s.has_trouble():
            self.store.turned_away.add(node.name)
            self.record.write(f"the store turns {node.name} away (503)")
        await self.storm(*FIRST_STORM)
        await self.storm(*SECOND_STORM)
        self.write_configuration([KEPT])
        confirmed_at = self.record.now()
        self.record.write(f"version {self.version} takes the key {TAKEN} away; confirmed")
        bound = confirmed_at + s.BOUNDS["revokeMs"] / 1000.0
        again_at = turned_away_at + TURNED_AWAY_S
        if again_at < bound:
            raise s.CannotRun("the writes took too long")
        tasks = []
        sender = asyncio.create_task(self.send_with_taken_key(node, again_at + 2.0, tasks))
        await asyncio.sleep(again_at - self.record.now())
        self.store.turned_away.discard(node.name)
        self.record.write(f"the store serves {node.name}")
        await sender
        await asyncio.gather(*tasks)
        return self.judge(bound)

    def judge(self, bound):
        late = []
        for engine in self.fleet.engines:
            for request_id, tenant, ran_at in engine.runs:
                if self.sent.get(request_id, 0.0) > bound:
                    late.append((ran_at, request_id, tenant))
        for line in self.fleet.log_lines(self.fleet.nodes[0], "configuration_in_force")[-3:]:
            self.record.write(f"log of {self.fleet.nodes[0].name}: {line}")
        self.record.write(f"{len(self.sent)} requests with the key that was taken away; bound "
                          f"{bound:.3f} s; ran although sent after it: {len(late)}")
        for ran_at, request_id, tenant in sorted(late):
            self.record.write(f"  {request_id}, sent at {self.sent[request_id]:.3f} s, ran at "
                              f"{ran_at:.3f} s for {tenant}")
        return s.BROKEN if late else s.HELD


async def play(record):
    case = Case(record)
    try:
        return await case.play()
    finally:
        await case.fleet.stop()


s.run_case(HERE, play)
