"""Starts gateways as the deploy file says, with stand-ins, on loopback addresses of their own."""

import asyncio
import logging
import os
import pathlib
import random
import re
import resource
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib

import platform_standin
import wire

ROOT = pathlib.Path(__file__).resolve().parents[2]

# The bounds of the settings that DEPLOY.md shows.
BOUNDS = {
    "contactMs": 3000, "drainMs": 2000, "graceS": 8, "configApplyMs": 2000, "revokeMs": 5000,
    "retryRatio": 0.2, "retryWindowS": 10, "retrySlack": 52, "quotaWindowS": 8, "leaseMs": 3000,
    "usageWindowS": 5, "usageLateS": 10, "recoveryS": 12, "ttl_max_s": 5,
}
MOST_DESCRIPTORS = 3900  # `maxFds` there is 4,100, of which 200 are reserved for files
LIMITS = {"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000}


# A peer that is gone is part of the cases.
logging.getLogger("asyncio").setLevel(logging.CRITICAL)


class CannotRun(Exception):
    """The case could not be played; this says nothing about the rule."""


def lookup(values, name):
    for part in name.split("."):
        values = values[int(part)] if isinstance(values, list) else values.get(part) if isinstance(values, dict) else None
        if values is None:
            return None
    return values


def render(template, values):
    """The part of the platform's templates that deploy/settings.toml uses."""
    def section(match):
        return match[2] if lookup(values, match[1]) else ""
    text = re.sub(r"\{\{#([\w.]+)\}\}(.*?)\{\{/\1\}\}", section, template, flags=re.S)
    return re.sub(r"\{\{([\w.]+)\}\}", lambda match: str(lookup(values, match[1])), text)


class Record:
    """record.txt: what was sent, answered and run."""

    def __init__(self, folder):
        self.file = open(folder / "record.txt", "w")
        self.start = time.monotonic()

    def __call__(self, *words):
        self.file.write(f"{time.monotonic() - self.start:8.3f} " + " ".join(str(word) for word in words) + "\n")
        self.file.flush()


class Gateway:
    def __init__(self, fleet, name, ip, zone):
        self.fleet, self.name, self.ip, self.zone = fleet, name, ip, zone
        self.process = None
        self.log_path = fleet.folder / f"{name}.log"
        self.ports = {"front": 8221, "ready": 8224, "control": 8229, "directory": 8220}

    def start(self):
        values = {
            "node": self.name, "ip": self.ip, "zone": self.zone, "region": "tz-north",
            "listen": {key: f"{self.ip}:{port}" for key, port in self.ports.items()},
            "portRange": [7600, 7615], "bounds": BOUNDS,
            "platform": {"address": self.fleet.platform.store.address},
            "cloud": {"address": self.fleet.platform.cloud.address},
        }
        role = tomllib.loads((ROOT / "deploy/system.toml").read_text())["roles"]["gateway"]
        settings = self.fleet.folder / f"{self.name}.toml"
        settings.write_text(render((ROOT / role["template"]).read_text(), values))
        command = [word if not word.startswith("--settings=") else f"--settings={settings}" for word in role["run"].split()]
        self.process = subprocess.Popen(
            ["/bin/sh", "-c", f'ulimit -n {MOST_DESCRIPTORS} && exec "$@"', "sh"] + command,
            cwd=ROOT, stdin=subprocess.DEVNULL, stdout=open(self.log_path, "ab"), stderr=subprocess.STDOUT)
        self.fleet.record("start", self.name, "at", self.ip)

    def signal(self, number):
        self.fleet.record("signal", signal.Signals(number).name, "to", self.name)
        self.process.send_signal(number)

    async def kill(self):
        self.signal(signal.SIGKILL)
        await asyncio.to_thread(self.process.wait)

    def is_running(self):
        return self.process is not None and self.process.poll() is None

    async def is_ready(self):
        try:
            status, _, _ = await asyncio.wait_for(call(self.ip, self.ports["ready"], "GET", "/-/readyz"), 1.0)
            return status == 200
        except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError, ConnectionError):
            return False

    async def wait_ready(self, seconds=20):
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            if not self.is_running():
                raise CannotRun(f"{self.name} ended at its start; see {self.log_path}")
            if await self.is_ready():
                return
            await asyncio.sleep(0.1)
        raise CannotRun(f"{self.name} was not ready in {seconds} s")


async def call(ip, port, method, path, headers=(), body=b""):
    """One request on a connection of its own; returns status, headers and body."""
    reader, writer = await asyncio.open_connection(ip, port)
    try:
        writer.write(request(method, path, headers, body))
        message = await wire.read_message(reader)
        if message is None:
            raise ConnectionError("closed without an answer")
        return int(message.start[1]), message.headers, message.body
    finally:
        writer.close()


def request(method, path, headers=(), body=b""):
    lines = [f"{method} {path} HTTP/1.1"] + [f"{key}: {value}" for key, value in headers]
    if body or method == "POST":
        lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


def new_id():
    return f"{random.getrandbits(64):016x}"


class Fleet:
    """Everything of one run; ends what it started."""

    def __init__(self, folder, gateways=1):
        self.case = pathlib.Path(folder)
        self.record = Record(self.case)
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="review-"))
        self.prefix = f"127.{random.randrange(20, 250)}.{random.randrange(1, 250)}"
        self.next_host = 10
        self.platform = platform_standin.Platform(f"{self.prefix}.1", self.record)
        zones = ["arusha-a", "arusha-b", "moshi-a", "moshi-b"]
        self.gateways = [
            Gateway(self, f"front-{zones[index % 4]}-{index // 4 + 1}", f"{self.prefix}.{index + 2}", zones[index % 4])
            for index in range(gateways)
        ]
        self.servers = []
        self.beats = {}
        self.sequence = 0

    def new_ip(self):
        self.next_host += 1
        if self.next_host > 250:
            raise CannotRun("no address left")
        return f"{self.prefix}.{self.next_host}"

    async def start(self, config):
        await self.platform.start()
        self.platform.write("op", "config", config)
        for gateway in self.gateways:
            gateway.start()
        for gateway in self.gateways:
            await gateway.wait_ready()

    def register(self, engine_id, service, address, zone="arusha-a", slots=64, state="ready", **more):
        """Writes an engine's entry; written again about every heartbeat while it is listed."""
        self.beats[engine_id] = {"service": service, "address": address, "zone": zone, "version": "v1",
                                 "slots": slots, "state": state, "coldLeftMs": 0,
                                 "born": int(time.time() * 1000), **more}
        self.write_beat(engine_id)

    def write_beat(self, engine_id):
        self.sequence += 1
        self.platform.write("servers", engine_id, {**self.beats[engine_id], "seq": self.sequence})

    def unregister(self, engine_id):
        if self.beats.pop(engine_id, None) is not None:
            self.platform.write("servers", engine_id, None)

    async def heartbeat(self):
        while True:
            await asyncio.sleep(1.2)
            for engine_id in list(self.beats):
                self.write_beat(engine_id)

    def end_gateways(self):
        for gateway in self.gateways:
            if gateway.is_running():
                gateway.process.kill()
                gateway.process.wait()

    def end(self):
        self.end_gateways()
        shutil.rmtree(self.folder, ignore_errors=True)


def trouble():
    return os.environ.get("TROUBLE", "1") != "0"


def main(play, folder, gateways=1, limit=115):
    """Runs a case: `play(fleet)` returns True if the rule held. The exit code says what came of it."""
    # Requesters and engines share this process and need more descriptors than its soft limit may allow.
    _, most = resource.getrlimit(resource.RLIMIT_NOFILE)
    if most != resource.RLIM_INFINITY:
        resource.setrlimit(resource.RLIMIT_NOFILE, (most, most))
    fleet = Fleet(folder, gateways)

    def stop(*_):
        fleet.end()
        os._exit(2)

    signal.signal(signal.SIGTERM, stop)
    signal.signal(signal.SIGINT, stop)

    async def run():
        beats = asyncio.create_task(fleet.heartbeat())
        try:
            return await asyncio.wait_for(play(fleet), limit)
        finally:
            beats.cancel()
            fleet.end_gateways()
            for server in fleet.servers + [fleet.platform.store, fleet.platform.cloud]:
                if server.server is not None:
                    server.crash()
            others = [task for task in asyncio.all_tasks() if task is not asyncio.current_task()]
            for task in others:
                task.cancel()
            await asyncio.gather(*others, return_exceptions=True)

    try:
        held = asyncio.run(run())
    except Exception as failure:  # whatever it is, it says nothing about the rule
        fleet.record("cannot run:", repr(failure))
        print("cannot run:", repr(failure))
        code = 2
    else:
        code = 0 if held else 1
        fleet.record("rule held" if held else "rule BROKEN")
        print("rule held" if held else "rule BROKEN")
    finally:
        if os.environ.get("KEEP_LOGS"):
            for gateway in fleet.gateways:
                shutil.copy(gateway.log_path, os.environ["KEEP_LOGS"])
        fleet.end()
    sys.stdout.flush()
    os._exit(code)  # connections that are still open need no orderly end
