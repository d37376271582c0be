"""Starts fleets without entry processes by scripts/local-fleet and checks what it promises."""

import argparse
import json
import pathlib
import signal
import subprocess
import sys
import tempfile
import time
import unittest
import urllib.request

OPTIONS = argparse.Namespace()
SIZES = {"kilimanjaro": 14, "magnolia": 16}
LIMIT_SECONDS = 60


def get(url):
    with urllib.request.urlopen(url, timeout=5) as answer:
        return json.load(answer)


def eventually(holds):
    deadline = time.monotonic() + LIMIT_SECONDS
    while time.monotonic() < deadline:
        if holds():
            return True
        time.sleep(0.05)
    return False


def is_alive(pid):
    """Ended processes whose parent has not asked for their status do not count."""
    try:
        state = pathlib.Path(f"/proc/{pid}/stat").read_text().rsplit(")", 1)[1].split()[0]
    except (FileNotFoundError, ProcessLookupError):
        return False
    return state != "Z"


class LocalFleetTest(unittest.TestCase):

    def start(self, deployment, build_dir=None):
        directory = tempfile.TemporaryDirectory()
        self.addCleanup(directory.cleanup)
        script = subprocess.Popen(
            [sys.executable, OPTIONS.script, "--deployment", deployment, "--without-entries",
             "--lag-ms", "50", "--state-dir", directory.name,
             "--build-dir", build_dir or OPTIONS.build_dir],
            stdout=subprocess.DEVNULL, stderr=subprocess.PIPE, text=True)
        self.addCleanup(self.end, script)
        return script, pathlib.Path(directory.name) / "fleet.json"

    def end(self, script):
        if script.poll() is None:
            script.terminate()
        _, errors = script.communicate(timeout=LIMIT_SECONDS)
        return script.returncode, errors

    def start_ready(self, deployment):
        script, file = self.start(deployment)
        self.assertTrue(eventually(lambda: file.exists() or script.poll() is not None))
        return script, json.loads(file.read_text())

    def pids(self, fleet):
        processes = fleet["endpoints"] + fleet["spares"] + [fleet["platform"]]
        return [process["pid"] for process in processes]

    def test_both_deployments_start_whole_and_end_whole(self):
        for deployment, size in SIZES.items():
            with self.subTest(deployment):
                script, fleet = self.start_ready(deployment)
                self.assertEqual(len(fleet["endpoints"]), size)
                self.assertEqual(len(fleet["organisations"]), 5)
                for endpoint in fleet["endpoints"] + fleet["spares"]:
                    health = get(endpoint["url"] + "/healthz")
                    for key in ("name", "service", "zone"):
                        self.assertEqual(health[key], endpoint[key])
                hosts = fleet["platform"]["url"] + "/hosts"
                self.assertTrue(eventually(lambda: len(get(hosts)["hosts"]) == size))
                listed = {host["name"] for host in get(hosts)["hosts"]}
                self.assertEqual(listed, {endpoint["name"] for endpoint in fleet["endpoints"]})
                self.assertEqual(self.end(script)[0], 0)
                self.assertFalse([pid for pid in self.pids(fleet) if is_alive(pid)])

    def test_an_endpoint_that_crashes_is_reported_and_the_rest_stays(self):
        script, fleet = self.start_ready("kilimanjaro")
        crashed = fleet["endpoints"][0]
        fault = urllib.request.Request(crashed["url"] + "/admin/faults", b'{"crash":true}')
        with self.assertRaises(OSError):
            urllib.request.urlopen(fault, timeout=5)
        get(fleet["endpoints"][1]["url"] + "/healthz")
        time.sleep(1)
        code, errors = self.end(script)
        self.assertEqual(code, 0)
        self.assertIn(crashed["name"] + " ended with", errors)

    def test_a_killed_script_leaves_no_process(self):
        script, fleet = self.start_ready("kilimanjaro")
        script.send_signal(signal.SIGKILL)
        script.wait()
        self.assertTrue(eventually(
            lambda: not [pid for pid in self.pids(fleet) if is_alive(pid)]))

    def test_a_missing_program_is_named(self):
        with tempfile.TemporaryDirectory() as empty:
            script, file = self.start("magnolia", empty)
            script.wait(LIMIT_SECONDS)
            code, errors = self.end(script)
            self.assertEqual(code, 1)
            self.assertIn("engine-standin is not built", errors)
            self.assertFalse(file.exists())


if __name__ == "__main__":
    parser = argparse.ArgumentParser()
    parser.add_argument("--script", required=True)
    parser.add_argument("--build-dir", required=True)
    OPTIONS, rest = parser.parse_known_args()
    unittest.main(argv=[sys.argv[0]] + rest)
