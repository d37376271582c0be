"""Stand-ins for the users' platform and engines, and the means to run gateways beside them.

They speak what ../given's PROTOCOL page says, over loopback addresses only. Used by the scripts in
review/11 to review/15.
"""
import asyncio
import base64
import json
import os
import random
import shutil
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import time
from urllib.parse import parse_qs, urlsplit

ROOT = os.path.abspath(os.path.join(os.path.dirname(__file__), "..", ".."))
GATEWAY = "target/eelgrassbend-gateway"  # as in deploy/system.toml
HOST = "shop.example"


def free_port(kind=socket.SOCK_STREAM):
    """A free port below those that the system gives to outgoing connections."""
    while True:
        port = random.randrange(12000, 32000)
        with socket.socket(socket.AF_INET, kind) as probe:
            try:
                probe.bind(("127.0.0.1", port))
            except OSError:
                continue
            return port


class Record:
    """Writes what was sent, answered and run to record.txt, with the seconds since the start."""

    def __init__(self, path):
        self.file = open(path, "w", encoding="utf-8")
        self.began = time.monotonic()

    def now(self):
        return time.monotonic() - self.began

    def __call__(self, *words):
        self.file.write("%8.3f " % self.now() + " ".join(str(word) for word in words) + "\n")
        self.file.flush()


class Message:
    def __init__(self, first, headers, body):
        self.first = first
        self.headers = headers
        self.body = body

    def header(self, name, default=""):
        for key, value in self.headers:
            if key.lower() == name.lower():
                return value
        return default


async def read_message(reader, is_answer=False):
    """Reads one request or answer; None at the end of the connection."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    lines = head[:-4].decode("latin-1").split("\r\n")
    headers = [tuple(part.strip() for part in line.split(":", 1)) for line in lines[1:]]
    message = Message(lines[0], headers, b"")
    if message.header("transfer-encoding").lower() == "chunked":
        while True:
            size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
            if size == 0:
                while await reader.readuntil(b"\r\n") != b"\r\n":
                    pass
                break
            message.body += await reader.readexactly(size)
            await reader.readexactly(2)
    elif message.header("content-length"):
        message.body = await reader.readexactly(int(message.header("content-length")))
    elif is_answer:
        message.body = await reader.read()
    return message


def answer_bytes(status, body=b"", headers=()):
    if not isinstance(body, bytes):
        body = json.dumps(body).encode()
    text = "HTTP/1.1 %d X\r\nContent-Length: %d\r\n" % (status, len(body))
    text += "".join("%s: %s\r\n" % entry for entry in headers)
    return text.encode() + b"\r\n" + body


class Server:
    """Serves HTTP/1.1 on a free loopback port; `handle` gets each request and its writer."""

    def __init__(self, handle, port=0):
        self.handle = handle
        self.port = port
        self.writers = set()

    async def start(self):
        self.port = self.port or free_port()
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", self.port, limit=1 << 22)
        self.address = "127.0.0.1:%d" % self.port
        return self

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                request = await read_message(reader)
                if request is None:
                    break
                await self.handle(request, writer)
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass  # cancelled at the end of the script
        finally:
            self.writers.discard(writer)
            writer.close()

    def stop(self):
        self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()


class Store:
    """The platform's store: a log with topics, of which those named `keyed.` keep the newest
    record of each key."""

    def __init__(self):
        self.topics = {}
        self.changed = asyncio.Condition()

    async def start(self):
        self.server = await Server(self.handle).start()
        self.address = self.server.address
        return self

    def log(self, topic):
        return self.topics.setdefault(topic, [])

    async def append(self, topic, records):
        log = self.log(topic)
        offset = len(log)
        log.extend(records)
        async with self.changed:
            self.changed.notify_all()
        return offset

    async def put(self, name, value):
        """Writes `op/NAME`, `servers/NAME` or `status/NAME`; None drops the key."""
        topic, key = name.split("/", 1)
        body = b"" if value is None else json.dumps(value).encode()
        await self.append("keyed." + topic, [bytes([len(key)]) + key.encode() + body])

    async def handle(self, request, writer):
        method, target, _ = request.first.split(" ")
        parts = urlsplit(target)
        query = {key: values[0] for key, values in parse_qs(parts.query).items()}
        topic = query.get("topic", "")
        if parts.path == "/-/log-append":
            records, rest = [], request.body
            while rest:
                (length,) = struct.unpack(">I", rest[:4])
                records.append(rest[4 : 4 + length])
                rest = rest[4 + length :]
            if "at" in query and int(query["at"]) != len(self.log(topic)):
                writer.write(answer_bytes(412, {"endOffset": len(self.log(topic))}))
                return
            offset = await self.append(topic, records)
            writer.write(answer_bytes(200, {"offset": offset, "endOffset": len(self.log(topic))}))
        elif parts.path == "/-/log-read":
            start = int(query["from"])
            wait = int(query.get("waitMs", "0")) / 1000
            if len(self.log(topic)) <= start and wait > 0:
                async def wait_for_record():
                    async with self.changed:
                        await self.changed.wait_for(lambda: len(self.log(topic)) > start)
                try:
                    await asyncio.wait_for(wait_for_record(), wait)
                except asyncio.TimeoutError:
                    pass
            log = self.log(topic)
            body = struct.pack(">QQ", len(log), 0)
            for record in log[start:]:
                body += struct.pack(">I", len(record)) + record
            writer.write(answer_bytes(200, body))
        elif parts.path == "/-/log-newest":
            newest = {}
            for offset, record in enumerate(self.log(topic)):
                key = record[1 : 1 + record[0]].decode()
                newest.pop(key, None)
                if len(record) > 1 + record[0]:
                    newest[key] = (record[1 + record[0] :], offset)
            items = [
                {"key": key, "value": base64.b64encode(value).decode(), "offset": offset}
                for key, (value, offset) in sorted(newest.items())
                if key > query.get("after", "")
            ]
            end = len(self.log(topic))
            writer.write(
                answer_bytes(200, {"items": items[:500], "more": len(items) > 500, "endOffset": end})
            )
        else:
            writer.write(answer_bytes(404))


class Cloud:
    """The platform's API for duties; notes the calls."""

    def __init__(self, record):
        self.record = record
        self.fences = {}
        self.usage = {}

    async def start(self):
        self.server = await Server(self.handle).start()
        self.address = self.server.address
        return self

    async def handle(self, request, writer):
        duty = request.first.split(" ")[1]
        holder = request.header("X-Eelgrassbend-Duty-Holder")
        fence = int(request.header("X-Eelgrassbend-Fence-Token", "0"))
        body = json.loads(request.body or b"{}")
        if fence < self.fences.get(duty, 0):
            writer.write(answer_bytes(409, {}))
            return
        self.fences[duty] = fence
        if duty == "/usage":
            counts = json.dumps(body.get("counts", {}), sort_keys=True)
            self.usage.setdefault(body["windowId"], []).append((holder, fence, counts))
        self.record("cloud", duty, holder, "fence", fence, json.dumps(body))
        writer.write(answer_bytes(200, {}))


class Gateway:
    """One gateway process, started as deploy/system.toml says."""

    def __init__(self, name, zone, store, cloud, folder, memory_mb=260, descriptors=4100):
        self.name = name
        self.memory_mb = memory_mb
        ports = [free_port() for _ in range(4)]
        self.port, self.ready_port, self.directory_port, metrics = ports
        self.datagrams = free_port(socket.SOCK_DGRAM)
        self.settings = os.path.join(folder, name + ".toml")
        self.output = os.path.join(folder, name + ".log")
        self.process = None
        with open(self.settings, "w", encoding="utf-8") as out:
            out.write(
                f'''name = "{name}"
region = "region-a"
zone = "{zone}"
log_level = "info"
[listen]
callers = "127.0.0.1:{self.port}"
ready = "127.0.0.1:{self.ready_port}"
directory = "127.0.0.1:{self.directory_port}"
datagrams = "127.0.0.1:{self.datagrams}"
metrics = "127.0.0.1:{metrics}"
[store]
address = "{store.address}"
[cloud]
address = "{cloud.address}"
[bounds]
removed_key_ms = 5000
configuration_ms = 2000
draining_ms = 2000
lease_ms = 3000
stop_s = 8
retry_ratio = 0.2
retry_slack = 52
quota_window_s = 8
usage_window_s = 5
usage_due_s = 10
directory_time_to_live_s = 5
[limits]
memory_mb = {memory_mb}
descriptors = {descriptors}
'''
            )

    def start(self):
        self.process = subprocess.Popen(
            [GATEWAY, "--settings=" + self.settings],
            cwd=ROOT,
            stdout=open(self.output, "ab"),
            stderr=subprocess.STDOUT,
        )

    def is_running(self):
        return self.process is not None and self.process.poll() is None

    def resident_mb(self):
        """Resident memory in MB, and 0 once the process has ended."""
        try:
            with open("/proc/%d/status" % self.process.pid, encoding="utf-8") as status:
                for line in status:
                    if line.startswith("VmRSS:"):
                        return int(line.split()[1]) / 1024
        except OSError:
            pass
        return 0.0

    def send_signal(self, number):
        if self.is_running():
            self.process.send_signal(number)

    async def is_ready(self):
        try:
            reader, writer = await asyncio.open_connection("127.0.0.1", self.ready_port)
            writer.write(b"GET /-/readyz HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
            answer = await asyncio.wait_for(read_message(reader, True), 1)
            writer.close()
            return answer is not None and " 200 " in answer.first
        except (OSError, asyncio.TimeoutError):
            return False

    async def wait_ready(self, seconds=15):
        for _ in range(int(seconds * 20)):
            if await self.is_ready():
                return True
            await asyncio.sleep(0.05)
        return False

    def end(self):
        if self.is_running():
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
            self.process.wait()


def configuration(version=7, tenants=None, limits=None):
    """Routes like those of a small deployment: model streams and a plain service."""
    return {
        "version": version,
        "routes": [
            route("draft", "/draft/", "stream", "llm", 15000, 1200, 1, resumable=False),
            route("text", "/text/", "stream", "llm", 12000, 500, 2, resumable=True),
            route("order", "/order/", "non_idempotent", "desk", 600, 100, 1),
            route("lookup", "/lookup/", "idempotent", "desk", 600, 100, 2),
        ],
        "services": [
            {
                "name": "llm", "healthPath": "/healthz", "maxConns": 360, "protocol": "h1",
                "tls": False,
                "engine": {
                    "slots": 64, "kvCapacity": 563819, "kvTokenBytes": 18432,
                    "linkMbps": 550000.0, "moves": True, "backups": True, "stride": 6, "most": 12,
                    "pinMs": 4000.0, "holdMs": 2000.0, "handleS": 5.0, "models": [{"name": "m"}],
                },
            },
            {"name": "desk", "healthPath": "/healthz", "maxConns": 96, "protocol": "h1", "tls": False},
        ],
        "limits": limits
        or {
            "maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000,
            "idleTimeoutMs": 15000,
        },
        "tenants": tenants
        or [
            {
                "name": "tenant-a", "apiKeys": ["key-a"], "priority": 1, "unit": "token_count",
                "plainTokens": 200, "ratePerS": 1000000, "burst": 1000000,
            }
        ],
    }


def route(name, prefix, kind, service, timeout, goal, attempts, resumable=False):
    entry = {
        "name": name, "host": HOST, "pathPrefix": prefix, "kind": kind, "timeoutMs": timeout,
        "goalMs": goal, "priority": 0, "service": service, "maxAttempts": attempts,
        "public": False, "sticky": kind == "stream", "resumable": resumable,
    }
    if kind == "stream":
        entry["gapTargetMs"] = 400
    return entry


class Engine:
    """An engine that registers itself, and answers each request that names it. `behave` may take
    over the answer to a request: it returns True if it did."""

    def __init__(self, store, record, name, service, zone="zone-a", slots=6, work_s=0.015):
        self.store = store
        self.record = record
        self.name = name
        self.service = service
        self.zone = zone
        self.slots = slots
        self.work_s = work_s
        self.runs = []  # (seconds, id)
        self.behave = None
        self.state = "ready"
        self.seq = 0
        self.beats = None
        self.running = 0
        self.born = int(time.time() * 1000)

    async def start(self, port=0):
        self.server = await Server(self.handle, port).start()
        self.beats = asyncio.ensure_future(self.beat())
        return self

    async def register(self):
        self.seq += 1
        await self.store.put(
            "servers/" + self.name,
            {
                "service": self.service, "address": self.server.address, "zone": self.zone,
                "version": "v1", "slots": self.slots, "state": self.state, "coldLeftMs": 0,
                "seq": self.seq, "born": self.born,
            },
        )

    async def beat(self):
        while True:
            await self.register()
            await asyncio.sleep(1.2)

    def stop(self):
        self.beats.cancel()
        self.server.stop()

    async def handle(self, request, writer):
        if request.first.startswith("GET /-/report"):
            writer.write(answer_bytes(200, {"stage": "prefill_decode", "models": [], "busy": False,
                                            "seq": 0, "queued": 0, "running": self.running}))
            return
        name = request.header("X-Eelgrassbend-Request-Id")
        if request.header("X-Eelgrassbend-Expect-Instance", self.name) != self.name:
            writer.write(answer_bytes(421, b"", [("X-Eelgrassbend-Instance-Id", self.name)]))
            return
        if self.behave and await self.behave(request, writer, name):
            return
        self.runs.append((self.record.now(), name))
        self.record("run", name, "at", self.name)
        self.running += 1
        try:
            if "/order/" in request.first or "/lookup/" in request.first:
                await asyncio.sleep(self.work_s)
                writer.write(answer_bytes(200, b"x" * 800, self.proof(name)))
                return
            head = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
            head += "Transfer-Encoding: chunked\r\n"
            head += "".join("%s: %s\r\n" % entry for entry in self.proof(name))
            writer.write(head.encode() + b"\r\n")
            for number in range(1, 11):
                await asyncio.sleep(0.02)
                event = b"id: %d\ndata: %s\n\n" % (number, b"t" * 40)
                writer.write(b"%x\r\n%s\r\n" % (len(event), event))
                await writer.drain()
            writer.write(b"0\r\n\r\n")
        finally:
            self.running -= 1

    def proof(self, name):
        return [
            ("X-Eelgrassbend-Request-Id", name),
            ("X-Eelgrassbend-Response-Seal", "seal." + name),
            ("X-Eelgrassbend-Load-Report", "%d,0,%d,100" % (self.running, self.slots)),
        ]


class Caller:
    """A requester: one request on a connection of its own, or on one that it keeps."""

    count = 0

    def __init__(self, record):
        self.record = record

    async def ask(self, gateway, path, budget_ms, body=b"y" * 200, kept=None, key="key-a"):
        """Returns (id, status, body); status 0 if the connection ended without an answer."""
        Caller.count += 1
        name = "%016x" % (0x9C41000000000000 + Caller.count)
        method = "GET" if "/lookup/" in path else "POST"
        body = b"" if method == "GET" else body
        head = "%s %s HTTP/1.1\r\nHost: %s\r\n" % (method, path, HOST)
        head += "X-Eelgrassbend-Request-Id: %s\r\nX-Api-Key: %s\r\n" % (name, key)
        head += "X-Eelgrassbend-Deadline-Ms: %d\r\n" % budget_ms
        if "/draft/" in path or "/text/" in path:
            head += "X-Eelgrassbend-Model: m\r\nX-Eelgrassbend-Token-Usage: 60,60\r\n"
            shared = "%08x" % (Caller.count % 40 * 2654435761 % 2**32)  # one of 40 shared parts
            head += "X-Eelgrassbend-Prefix-Hash: %s:20,%s:40\r\n" % (shared, name[-8:])
        if method == "POST":
            head += "Content-Length: %d\r\n" % len(body)
        self.record("sent", name, path, "to", gateway.name)
        status, received = 0, b""
        writer = None
        try:
            if kept:
                reader, writer = kept
            else:
                reader, writer = await asyncio.wait_for(
                    asyncio.open_connection("127.0.0.1", gateway.port), 1
                )
            writer.write(head.encode() + b"\r\n" + body)
            answer = await asyncio.wait_for(read_message(reader, True), budget_ms / 1000 + 0.5)
            if answer is not None:
                status, received = int(answer.first.split(" ")[1]), answer.body
        except asyncio.TimeoutError:
            status = -1
        except (OSError, asyncio.IncompleteReadError):
            status = 0
        finally:
            if writer and not kept:
                writer.close()
        words = {0: "connection ended", -1: "no answer in time"}
        self.record("answer", name, words.get(status, status))
        return name, status, received


def run_case(case, folder):
    """Runs `case(record, disturbed, folder)`, which returns a list of what broke the rule, or None
    if the case could not run; exits as the issue asks."""
    disturbed = os.environ.get("TROUBLE", "1") != "0"
    record = Record(os.path.join(folder, "record.txt"))
    record("disturbance:", "yes" if disturbed else "no")
    place = tempfile.mkdtemp(prefix="review-")
    try:
        broken = asyncio.run(case(record, disturbed, place))
    except Exception as failure:  # a stand-in failed, which says nothing about the gateway
        record("could not run:", repr(failure))
        print("could not run:", repr(failure))
        sys.exit(2)
    finally:
        shutil.rmtree(place, ignore_errors=True)
    if broken is None:
        record("could not run: it did not hold in calm either")
        print("could not run")
        sys.exit(2)
    for line in broken:
        record("BROKEN:", line)
        print("BROKEN:", line)
    record("result:", "broken" if broken else "held")
    print("result:", "broken" if broken else "held")
    sys.exit(1 if broken else 0)
