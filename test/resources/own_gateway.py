"""Starts the gateway of this build with the stand-ins of review/lib, on loopback addresses of its own."""

import asyncio
import pathlib
import subprocess
import sys
import tempfile

ROOT = pathlib.Path(__file__).resolve().parents[2]
sys.path.insert(0, str(ROOT / "review/lib"))

import fleet as fleets

CONFIG = {"version": 1, "routes": [], "services": [], "limits": fleets.LIMITS}


class OwnGateway(fleets.Gateway):
    """`limits` are those of the deployment; `output` is the standard output of the process."""

    limits = {}
    output = subprocess.DEVNULL

    def store_address(self):
        return self.fleet.platform.store.address

    def start(self):
        values = {
            "node": self.name, "ip": self.ip, "zone": self.zone, "region": "r", "portRange": [7600, 7615],
            "listen": {key: f"{self.ip}:{port}" for key, port in self.ports.items()}, "bounds": fleets.BOUNDS,
            "platform": {"address": self.store_address()},
            "cloud": {"address": self.fleet.platform.cloud.address}, "limits": self.limits,
        }
        settings = self.fleet.folder / f"{self.name}.toml"
        settings.write_text(fleets.render((ROOT / "deploy/settings.toml").read_text(), values))
        self.process = subprocess.Popen([sys.argv[1], f"--settings={settings}"], stdin=subprocess.DEVNULL,
                                        stdout=self.output, stderr=subprocess.DEVNULL)


async def send(gateway, port, path):
    call = fleets.call(gateway.ip, port, "GET", path, [("Host", "none.example")])
    return await asyncio.wait_for(call, 30)


async def metric(gateway, name):
    """The sum over all labels."""
    _, _, text = await send(gateway, 9464, "/metrics")
    return sum(float(line.split()[-1]) for line in text.decode().splitlines() if line.startswith(name))


async def play(check, gateway_type):
    with tempfile.TemporaryDirectory() as folder:
        fleet = fleets.Fleet(folder)
        gateway = gateway_type(fleet, "front-1", fleet.gateways[0].ip, "a")
        fleet.gateways = [gateway]
        try:
            await fleet.start(CONFIG)
            return await check(gateway)
        finally:
            fleet.end()


def main(check, gateway_type):
    """Ends with 0 if `check(gateway)` returns True."""
    try:
        held = asyncio.run(play(check, gateway_type))
    except (OSError, asyncio.TimeoutError, fleets.CannotRun) as failure:
        print("failed:", repr(failure))
        held = False
    sys.exit(0 if held else 1)
