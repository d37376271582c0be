"""A gateway with low limits of memory and descriptors, and what its process holds."""

import asyncio
import os
import pathlib
import subprocess
import sys

ROOT = pathlib.Path(__file__).resolve().parents[2]
sys.path.insert(0, str(ROOT / "review" / "lib"))

import fleet as fleets

MEMORY_MB = 64
DESCRIPTORS = 600


class LimitedGateway(fleets.Gateway):
    """Runs the program of the build with low limits."""

    program = ""

    def start(self):
        values = {
            "node": self.name, "ip": self.ip, "zone": self.zone, "region": "tz-north",
            "listen": {key: f"{self.ip}:{port}" for key, port in self.ports.items()},
            "portRange": [7600, 7615], "bounds": fleets.BOUNDS,
            "platform": {"address": self.fleet.platform.store.address},
            "cloud": {"address": self.fleet.platform.cloud.address},
            "limits": {"memoryMb": MEMORY_MB, "maxFds": DESCRIPTORS},
        }
        settings = self.fleet.folder / f"{self.name}.toml"
        settings.write_text(fleets.render((ROOT / "deploy/settings.toml").read_text(), values))
        self.process = subprocess.Popen(
            ["/bin/sh", "-c", f'ulimit -n {DESCRIPTORS} && exec "$@"', "sh", self.program, f"--settings={settings}"],
            stdin=subprocess.DEVNULL, stdout=open(self.log_path, "ab"), stderr=subprocess.STDOUT)


class Watch:
    """Samples what the process holds."""

    def __init__(self, gateway):
        self.gateway, self.memory, self.descriptors = gateway, 0, 0
        octets = gateway.ip.split(".")
        self.local = "".join(f"{int(octet):02X}" for octet in reversed(octets)) + ":"

    def unread_bytes(self):
        total = 0
        for line in pathlib.Path("/proc/net/tcp").read_text().splitlines()[1:]:
            fields = line.split()
            if fields[1].startswith(self.local):
                total += int(fields[4].split(":")[1], 16)
        return total

    def sample(self):
        folder = pathlib.Path(f"/proc/{self.gateway.process.pid}")
        try:
            status = (folder / "status").read_text()
            sizes = dict(line.split(":", 1) for line in status.splitlines())
            resident = int(sizes["VmRSS"].split()[0]) * 1024
            peak = int(sizes["VmHWM"].split()[0]) * 1024
            self.memory = max(self.memory, resident + self.unread_bytes(), peak)
            self.descriptors = max(self.descriptors, len(os.listdir(folder / "fd")))
        except (OSError, KeyError):
            pass  # the process has ended, which is checked at the end

    async def run(self):
        while True:
            self.sample()
            await asyncio.sleep(0.05)
