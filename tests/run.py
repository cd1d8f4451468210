"""Runs tests with nose2; failures that KNOWN-RED.txt lists do not fail the run.

Usage: ``python -m tests.run [test ...]``, from the root of the repository.
"""

from __future__ import annotations

import sys
from pathlib import Path

from nose2.events import Plugin, TestOutcomeEvent
from nose2.main import PluggableTestProgram

ROOT = Path(__file__).parent.parent
KNOWN_RED = ROOT / "KNOWN-RED.txt"


class Outcomes(Plugin):
    """nose2 plug-in that collects the outcome of every test by its id."""

    alwaysOn = True  # noqa: N815 - nose2's name
    configSection = "outcomes"  # noqa: N815 - nose2's name
    failed: set[str] = set()
    skipped: set[str] = set()
    passed: set[str] = set()

    def testOutcome(self, event: TestOutcomeEvent) -> None:  # noqa: N802
        """Record an outcome; nose2 calls this for each test and subtest."""
        match event.outcome:
            case "subtest" if event.exc_info is None:
                pass
            case "passed":
                self.passed.add(event.test.id())
            case "skipped":
                self.skipped.add(event.test.id())
            case _:
                self.failed.add(event.test.id())


def known_red() -> dict[str, str]:
    """Return the lines of KNOWN-RED.txt by the id of their test."""
    entries = {}
    for line in KNOWN_RED.read_text().splitlines():
        if line.strip() and not line.startswith("#"):
            entries[line.split("|")[0].strip()] = line
    return entries


def main() -> int:
    """Run the tests given on the command line, or all; return the exit code.

    The code is 1 if a test fails that is not listed, or if no test passes.
    """
    arguments = ["nose2", "-c", "unittest.cfg", "-s", "tests", "-t", ".", "-v"]
    PluggableTestProgram(
        module=None,
        argv=[*arguments, *sys.argv[1:]],
        exit=False,
        plugins=["tests.run"],
    )
    listed = known_red()
    # Run as __main__, this file is imported again by nose2 as tests.run; the outcomes
    # are in that module.
    outcomes = sys.modules["tests.run"].Outcomes
    red = outcomes.failed & listed.keys()
    for name in sorted(red):
        print(f"known red: {listed[name]}")
    for name in sorted(listed.keys() - outcomes.failed):
        print(f"listed in {KNOWN_RED.name}, did not fail in this run: {name}")
    unexpected = outcomes.failed - red
    skipped = len(outcomes.skipped) + len(red)
    passed = len(outcomes.passed - outcomes.failed)
    print(f"{passed} passed, {len(unexpected)} failed, {skipped} skipped", flush=True)
    return 1 if unexpected or not passed else 0


if __name__ == "__main__":
    sys.exit(main())
