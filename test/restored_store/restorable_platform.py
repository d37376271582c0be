"""A platform whose store can be restored from an older copy, and gateways that each reach it at an address of their own."""

import asyncio
import collections
import json

import own_gateway
import platform_standin
import wire

OTHERS_TOPICS = ("keyed.op", "keyed.servers")  # what operators and engines write is written again


class Platform(platform_standin.Platform):
    def __init__(self, ip, record):
        super().__init__(ip, record)
        self.era = 0
        self.turned_away = set()  # names of gateways
        self.duty_calls = []  # subject, holder, token and call of each

    async def open_door(self, gateway):
        async def handle(message, writer, reader):
            if gateway.name in self.turned_away:
                writer.write(self.with_era(wire.answer(503)))
                return None
            return await self.handle_store(message, writer, reader)

        return await wire.Server(self.store.ip, 0, handle).start()

    def restore(self):
        """Loses all that the system wrote."""
        self.era += 1
        self.record("the store is restored, era", self.era)
        for name, topic in self.topics.items():
            if name not in OTHERS_TOPICS:
                topic.records.clear()
                topic.newest.clear()
                topic.changed.set()
                topic.changed = asyncio.Event()

    def with_era(self, answer):
        return answer.replace(b"\r\n", f"\r\nStore-Era: {self.era}\r\n".encode(), 1)

    def append(self, topic, query, body):
        return self.with_era(super().append(topic, query, body))

    async def read(self, topic, query):
        if int(query["from"]) <= len(topic.records):
            page = await super().read(topic, query)
            if int(query["from"]) <= len(topic.records):
                return self.with_era(page)
        return self.with_era(wire.answer(410, [("Content-Type", "application/json")], b'{"firstOffset":0}'))

    def newest(self, topic, query):
        return self.with_era(super().newest(topic, query))

    async def handle_cloud(self, message, writer, reader):
        call = json.loads(message.body)
        subject = (message.start[1], call.get("service"), call.get("zone"))
        holder = message.header("X-Eelgrassbend-Duty-Holder")
        token = int(message.header("X-Eelgrassbend-Fence-Token"))
        self.duty_calls.append((subject, holder, token, call))
        self.record("call", message.start[1], "of", holder, "token", token, json.dumps(call))
        return await super().handle_cloud(message, writer, reader)

    def orders_of(self, gateway):
        return [call for holder, _, call in self.orders if holder == gateway.name]

    def windows(self):
        return {call["windowId"] for _, _, call in self.usage}

    def shared_tokens(self):
        """Subjects and tokens with which more than one holder called."""
        holders = collections.defaultdict(set)
        for subject, holder, token, _ in self.duty_calls:
            holders[subject, token].add(holder)
        return {key: names for key, names in holders.items() if len(names) > 1}

    def contradicted_windows(self):
        """Usage windows of which reports with different counts were accepted."""
        counts = collections.defaultdict(set)
        for _, _, call in self.usage:
            counts[call["windowId"]].add(json.dumps(call["counts"], sort_keys=True))
        return {window: reports for window, reports in counts.items() if len(reports) > 1}


class Gateway(own_gateway.OwnGateway):
    """Reaches the store at an address of its own."""

    door = None

    def store_address(self):
        return self.door.address

    async def begin(self):
        if self.door is None:
            self.door = await self.fleet.platform.open_door(self)
            self.fleet.servers.append(self.door)
        self.start()
        await self.wait_ready()
