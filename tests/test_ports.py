"""Concurrent test runs never get the same port for two servers."""

import subprocess
import sys
import unittest
from pathlib import Path

ROOT = Path(__file__).parent.parent
COUNT = 20
ASK_TESTS = f"""
import itertools
from tests import ports
ports._ports = itertools.cycle(range(ports.FIRST_PORT, ports.LAST_PORT))
print(*[ports.free_port() for _ in range({COUNT})], flush=True)
input()
"""
"""Prints ports, beginning with the first, then waits for input. Nothing listens on the
ports, so only their claims keep two processes apart."""
ASK_DEPLOYMENT = f"""
from examples import deployment
deployment.HIGHEST_PORT = deployment.LOWEST_PORT + {3 * COUNT}
used = set()
print(*[deployment.free_port(used) for _ in range({COUNT})], flush=True)
input()
"""
"""The same for an example deployment, with few ports to choose from."""


class FreePortTest(unittest.TestCase):
    def test_runs_at_once_get_different_ports(self) -> None:
        self._check(ASK_TESTS)

    def test_deployments_at_once_get_different_ports(self) -> None:
        self._check(ASK_DEPLOYMENT)

    def _check(self, ask: str) -> None:
        given = []
        for _ in range(2):
            process = subprocess.Popen(
                [sys.executable, "-c", ask],
                cwd=ROOT,
                stdin=subprocess.PIPE,
                stdout=subprocess.PIPE,
                text=True,
            )
            self.addCleanup(process.communicate, "\n")
            given += process.stdout.readline().split()
        self.assertEqual(len(given), 2 * COUNT)
        self.assertEqual(len(set(given)), 2 * COUNT)
