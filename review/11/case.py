"""An engine sends bytes that are no answer, without end, in a head."""
import asyncio
import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "lib3"))
from standins import Caller, Cloud, Engine, Gateway, Store, configuration, run_case  # noqa: E402

MEMORY_MB = 260
FIRST = b"HTTP/1.1 200 OK\r\na"
MORE = b":\r\na" * 1000  # 4,000 bytes; each write ends with the first letter of a line
PAUSE_S = 0.001


async def case(record, disturbed, folder):
    store = await Store().start()
    cloud = await Cloud(record).start()
    await store.put("op/config", configuration())
    engines = [await Engine(store, record, "i-llm-%d" % n, "llm", slots=64).start() for n in (1, 2)]
    desk = await Engine(store, record, "i-desk-1", "desk").start()

    async def endless_head(request, writer, name):
        sent = len(FIRST)
        record("run", name, "at i-llm-1: its head does not end")
        writer.write(FIRST)
        try:
            while not writer.transport.is_closing():
                await asyncio.sleep(PAUSE_S)
                writer.write(MORE)
                sent += len(MORE)
                await writer.drain()
        except ConnectionError:
            pass
        record("closed", name, "after a head of", sent, "bytes")
        return True

    gateways = [Gateway("front-%d" % n, "zone-a", store, cloud, folder, MEMORY_MB) for n in (1, 2)]
    broken = []
    state = {"over": False}
    ends = {"front-1": 0, "front-2": 0}  # over the limit of memory
    most = {gateway.name: 0.0 for gateway in gateways}

    async def restart(gateway):
        await asyncio.sleep(0.5)  # "a process that exits or is killed is restarted after a short delay"
        if not state["over"]:
            gateway.start()

    async def watch():
        while True:
            for gateway in gateways:
                used = gateway.resident_mb()
                most[gateway.name] = max(most[gateway.name], used)
                if used > MEMORY_MB and gateway.is_running():
                    ends[gateway.name] += 1
                    record("platform kills", gateway.name, "at %.0f MB" % used)
                    gateway.end()
                    asyncio.ensure_future(restart(gateway))
            await asyncio.sleep(0.02)

    try:
        for gateway in gateways:
            gateway.start()
        for gateway in gateways:
            if not await gateway.wait_ready():
                record("not ready", gateway.name)
                return None
        await asyncio.sleep(2)
        watching = asyncio.ensure_future(watch())
        if disturbed:
            engines[0].behave = endless_head
        caller = Caller(record)
        asked = []
        for second in range(30):  # 10 a second of each kind, in clumps, as on a small deployment
            for number in range(10 * second, 10 * second + 10):
                gateway = gateways[number % 2]
                for path, budget in (("/draft/%d" % number, 15000), ("/order/%d" % number, 600)):
                    asked.append(asyncio.ensure_future(caller.ask(gateway, path, budget)))
            await asyncio.sleep(1)
        answers = await asyncio.gather(*asked)
        state["over"] = True
        watching.cancel()
        cut = [name for name, status, _ in answers if status <= 0]
        record("most memory", most, "cut or not taken:", len(cut), "of", len(answers))
        if not disturbed and cut:
            return None
        record("ends", ends)
        if sum(count >= 3 for count in ends.values()) >= 2:
            broken.append("processes end three times or more on two machines: %s" % ends)
        return broken
    finally:
        state["over"] = True
        for gateway in gateways:
            gateway.end()
        for engine in engines + [desk]:
            engine.stop()


run_case(case, os.path.dirname(os.path.abspath(__file__)))
