"""Starts the demo's deployment and leaves it running until it is interrupted.

Writes the addresses and keys that the samples need to a file of shell variables.
"""

from __future__ import annotations

import signal
import sys
import tempfile
import time
from pathlib import Path

from demo import ORO, print_line, start
from deployment import PLATFORM_KEY, Deployment, deployment

CHECK_PERIOD_S = 1.0


def variables(running: Deployment) -> str:
    """Return the shell variables of a running deployment."""
    control = ",".join(item.control_url for item in running.instances)
    return "\n".join(
        [
            f"export CAROBSPUR_CONTROL={control}",
            f"export CAROBSPUR_ORGANISATION={ORO.organisation}",
            "export CAROBSPUR_KEY=oro-example-operator",
            f"export ENTRY={running.instances[0].entry_url}",
            f"export CALLER_KEY={ORO.key}",
            f"export PLATFORM_KEY={PLATFORM_KEY}",
            "",
        ]
    )


def main() -> None:
    """Run until interrupted; the first argument is the path of the variables file."""
    target = Path(sys.argv[1] if len(sys.argv) > 1 else "carobspur.env")
    # A shell starts background jobs with SIGINT ignored, so both are set here.
    for number in (signal.SIGINT, signal.SIGTERM):
        signal.signal(number, signal.default_int_handler)
    with tempfile.TemporaryDirectory() as directory:
        try:
            with deployment(Path(directory)) as running:
                start(running)
                target.write_text(variables(running))
                print_line(f"running; use it with: . {target}; stop it with Ctrl-C")
                while True:
                    time.sleep(CHECK_PERIOD_S)
                    running.check()
        except KeyboardInterrupt:
            print_line("all processes stopped")
        finally:
            target.unlink(missing_ok=True)


if __name__ == "__main__":
    main()
