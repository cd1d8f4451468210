"""Runs the enumeration of fault points with one safety mechanism after the other off.

Prints for each mechanism how many runs broke a guarantee, and an example.

Usage: ``PYTHONPATH=src:. python experiments/fault_points.py [mechanism ...]``, about
two minutes.
"""

from __future__ import annotations

import contextlib
import sys
from collections.abc import Iterator
from unittest import mock

from tests.test_fault_points import TOOLS, enumerate_points

from carobspur.execution import CallRuntime
from carobspur.fencing import FencingNumbers
from carobspur.forward import _ForwardAttempts
from carobspur.journal import CallIntended
from carobspur.outage import OutageGuard
from carobspur.plugins import calls_once
from carobspur.plugins.calls_once import OnceCalls

_commit = OnceCalls._commit


async def _commit_without_intent(self, context, *records):
    if not any(isinstance(record, CallIntended) for record in records):
        await _commit(self, context, *records)


async def _skip(*args: object) -> None:
    return None


async def _plain_commit(self, context, records, *, pending_verdict):
    await self.session.commit(records)


def _take_own_number(self, *, above=0):
    self._last += 1
    return self._last


# The patches that turn each mechanism off.
MECHANISMS = {
    "all on": [],
    "intent": [mock.patch.object(OnceCalls, "_commit", _commit_without_intent)],
    "lease check before sending": [
        mock.patch.object(OnceCalls, "_ensure_lease", _skip),
    ],
    "lease check before admission": [
        mock.patch.object(OutageGuard, "require_table", _skip),
    ],
    "fencing numbers above the intent's": [
        mock.patch.object(FencingNumbers, "take", _take_own_number)
    ],
    "verdicts kept weak": [
        mock.patch.object(calls_once, "_weaken_unproven", contextlib.nullcontext),
        mock.patch.object(CallRuntime, "commit", _plain_commit),
        mock.patch.object(
            _ForwardAttempts, "with_final_verdict", lambda self, error: error
        ),
    ],
}


@contextlib.contextmanager
def without(name: str) -> Iterator[None]:
    """Turn a mechanism off for the time of the context."""
    with contextlib.ExitStack() as stack:
        for patch in MECHANISMS[name]:
            stack.enter_context(patch)
        yield


def main() -> None:
    """Run and print the mechanisms that are named on the command line, or all."""
    for name in sys.argv[1:] or MECHANISMS:
        with without(name):
            for tool in TOOLS:
                tried, broken = enumerate_points(tool)
                runs = len({line.partition(":")[0] for line in broken})
                example = f"; e.g. {broken[0]}" if broken else ""
                print(f"off: {name} | {tool} | {tried} tried | {runs} broken{example}")
                sys.stdout.flush()


if __name__ == "__main__":
    main()
