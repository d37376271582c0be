"""An engine's older entry, written late, makes a leaving engine count as ready again."""

import asyncio
import pathlib
import sys

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "lib2"))
import standins as s  # noqa: E402

KEY = "desk-key-0001"
ENGINES = 12
LEAVING = 4            # of 12 engines: 0.33 of the writes; platform_lost, how = "late", x = 0.35
ROUNDS = 4
DONE_LATE_S = 5.8      # "done 1 to 6 s later"
DRAINS_AT_S = 3.3      # after the write whose answer is lost
SERVES_ON_S = 3.4      # after the confirmation of `draining`: drainMs and a little longer
ORDERS_PER_S = 6
WORK_S = 0.4


class DeskEngine(s.Engine):
    def __init__(self, *arguments, **named):
        super().__init__(*arguments, self.serve_order, **named)
        self.confirmed_at = None    # of `draining`, by the store
        self.has_left = False

    async def serve_order(self, request, writer):
        self.note_run(request)
        await asyncio.sleep(WORK_S)
        headers = self.proof(request)
        if self.confirmed_at is not None:
            headers.append(("Server-Leaving", "1"))
        return s.answer_bytes(200, headers, b"placed")

    async def leave(self):
        """Leaves as planned. The answer to one write before it is lost, and the write done late."""
        self.beating.cancel()
        self.seq += 1
        late = dict(self.entry, seq=self.seq, born=self.born)
        if s.has_trouble():
            self.record.write(f"{self.name} writes {late['state']} with seq {self.seq}; the answer "
                              "is lost, and the write is done late")
        else:
            self.store.put("keyed.servers", self.name, late)
        await self.wait_beating(DRAINS_AT_S)
        self.entry["state"] = "draining"
        self.beat()
        self.confirmed_at = self.record.now()
        self.record.write(f"{self.name} writes draining with seq {self.seq}; confirmed")
        serving = asyncio.create_task(self.wait_beating(SERVES_ON_S))
        await asyncio.sleep(DONE_LATE_S - DRAINS_AT_S)
        if s.has_trouble():
            self.store.put("keyed.servers", self.name, late)
            self.record.write(f"the store does the write of {self.name} with seq {late['seq']}")
        await serving
        self.has_left = True
        await self.server.stop()
        self.store.put("keyed.servers", self.name, None)
        self.record.write(f"{self.name} has left")

    async def wait_beating(self, span):
        until = self.record.now() + span
        while self.record.now() + 1.2 < until:
            await asyncio.sleep(1.2)
            self.beat()
        await asyncio.sleep(max(0.0, until - self.record.now()))


class Case:
    def __init__(self, record):
        self.record = record
        self.fleet = s.Fleet(record)
        self.sent = {}
        self.answers = {}
        self.started = 0

    async def start_engine(self):
        self.started += 1
        engine = DeskEngine(f"{self.fleet.net}.{100 + self.started}", f"i-desk-{self.started}",
                            "order-desk", ("zone-a", "zone-b")[self.started % 2],
                            self.fleet.store, self.record, slots=6)
        self.fleet.engines.append(engine)
        await engine.start()
        return engine

    async def send_orders(self):
        count = 0
        while True:
            node = self.fleet.nodes[count % len(self.fleet.nodes)]
            count += 1
            asyncio.create_task(self.send_order(node))
            await asyncio.sleep(1.0 / ORDERS_PER_S)

    async def send_order(self, node):
        request_id = s.new_id()
        self.sent[request_id] = self.record.now()
        answer = await s.ask(node.ip, node.front, s.request_bytes(
            "POST", "/order/1", request_id, KEY, b"lanyards", deadline_ms=2000), 3.0)
        self.answers[request_id] = answer

    async def play(self):
        self.fleet.store.put("keyed.op", "config", s.configuration(
            3, [s.route("order", "/order/", "order-desk", "non_idempotent", 2000, 600)],
            [s.service("order-desk")], [s.tenant("lodge", [KEY])]))
        present = [await self.start_engine() for _ in range(ENGINES)]
        await self.fleet.start(2)
        await self.fleet.wait_ready()
        await asyncio.sleep(s.BOUNDS["contactMs"] / 1000.0 + 0.5)
        orders = asyncio.create_task(self.send_orders())
        for _ in range(ROUNDS):
            leaving = present[:LEAVING]
            present = present[LEAVING:] + [await self.start_engine() for _ in range(LEAVING)]
            await asyncio.gather(*(engine.leave() for engine in leaving))
        orders.cancel()
        await asyncio.sleep(2.0)
        return self.judge()

    def judge(self):
        late = 0
        lost = 0
        for engine in self.fleet.engines:
            if engine.confirmed_at is None:
                continue
            bound = engine.confirmed_at + s.BOUNDS["drainMs"] / 1000.0
            for request_id, _, reached_at in engine.runs:
                if reached_at <= bound:
                    continue
                late += 1
                answer = self.answers.get(request_id)
                is_lost = answer is None or answer.status != 200
                lost += is_lost
                self.record.write(
                    f"{request_id}, sent at {self.sent[request_id]:.3f} s, reaches {engine.name} "
                    f"at {reached_at:.3f} s, {reached_at - engine.confirmed_at:.3f} s after the "
                    f"confirmation of draining: {answer}")
        self.record.write(f"orders {len(self.sent)}; reached an engine later than drainMs after "
                          f"its confirmation: {late}; of these without a success: {lost}")
        return s.BROKEN if late else s.HELD


async def play(record):
    case = Case(record)
    try:
        return await case.play()
    finally:
        await case.fleet.stop()


s.run_case(HERE, play)
