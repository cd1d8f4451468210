"""Demo: runs a program of each example organisation on real processes.

Starts stand-ins of platform and endpoints, three instances with their daemons, and
prints a transcript of two programs. Exit code 1 where anything fails.
"""

from __future__ import annotations

import sys
import tempfile
import time
from dataclasses import dataclass
from pathlib import Path
from urllib.request import Request, urlopen

from caller import Caller, Refusal
from deployment import (
    PLATFORM_KEY,
    Deployment,
    ProcessDiedError,
    deployment,
    example_inventory,
)

from carobspur.inventory import Inventory, encode_inventory

INSTANCES = 3


@dataclass(frozen=True, slots=True)
class Script:
    """Names and inputs of one organisation's program.

    Agents, model and services are names of the organisation's example inventory.
    """

    organisation: str
    key: str
    user: str
    agent: str
    sub_agent: str
    model: str
    tool: str
    tool_input: dict[str, object]
    plain: str
    plain_input: dict[str, object]
    question: str


ORO = Script(
    organisation="oro-recupero",
    key="oro-example-caller",
    user="clerk-17",
    agent="quote",
    sub_agent="assay",
    model="quote-model",
    tool="payout",
    tool_input={"seller": "s-204", "pesos": 185000},
    plain="vault",
    plain_input={"lot": "L-88", "grams": 4.2},
    question="a chain of 4.2 grams, 18 carat: what do we pay today?",
)
JALBANDI = Script(
    organisation="jalbandi",
    key="jalbandi-example-caller",
    user="inspector-3",
    agent="inspection",
    sub_agent="tag-lookup",
    model="registry-model",
    tool="tag-issue",
    tool_input={"boat": "KHI-441", "pots": 12},
    plain="registry",
    plain_input={"tag": "P-10022"},
    question="who owns the pots with tags P-10022 to P-10034?",
)


def print_line(text: str) -> None:
    """Print a line of the transcript."""
    print(text, flush=True)


def import_inventory(control: str, inventory: Inventory, key: str) -> None:
    """Import an organisation's first inventory.

    Sends the same request as ``carobspur inventory import``; ``control`` is the base
    URL of a control process.
    """
    request = Request(
        f"{control}/v1/organisations/{inventory.organisation}/inventory",
        method="PUT",
        data=encode_inventory(inventory),
        headers={
            "Authorization": f"Bearer {key}",
            "If-Match": '"0"',
            "Carobspur-Change": f"demo-{inventory.organisation}",
        },
    )
    with urlopen(request, timeout=10) as answer:
        print_line(f"  inventory of {inventory.organisation}: {answer.read().decode()}")


def run_program(caller: Caller, script: Script) -> None:
    """Run a whole program, with a sub-agent and a repeated call; print a transcript."""
    print_line(f"\n== {script.agent} program of {script.organisation} ({script.user})")
    for address in caller.addresses():
        place = f"{address['host']}:{address['port']}"
        print_line(f"  address {place} in {address['data_centre']}")
    program = caller.start(script.agent)
    print_line(f"  started {program}")
    words: list[str] = []
    content = {"prompt": script.question, "max_tokens": 12}
    answer = caller.stream(program, 1, script.model, content, words.append)
    print_line(f"  call 1 {script.model}: {len(words)} pieces, {_summary(answer)}")
    answer = caller.call(program, 2, script.plain, script.plain_input)
    print_line(f"  call 2 {script.plain}: {_summary(answer)}")
    child = caller.start(script.sub_agent, parent=program)
    content = {"prompt": "check the details", "max_tokens": 8}
    answer = caller.call(child, 1, script.model, content)
    print_line(f"  sub-agent {script.sub_agent} {child}: {_summary(answer)}")
    answer = caller.call(program, 3, script.tool, script.tool_input)
    print_line(f"  call 3 {script.tool}: {answer['output']}, {_summary(answer)}")
    again = caller.call(program, 3, script.tool, script.tool_input)
    print_line(f"  call 3 again: replayed={again['replayed']}, {again['output']}")
    content = {"prompt": "thank you, close the visit", "max_tokens": 8}
    answer = caller.call(program, 4, script.model, content)
    print_line(f"  call 4 {script.model}: {_summary(answer)}")
    shown = caller.show(program)
    print_line(f"  {shown['next_number'] - 1} calls, {shown['cost_units']} cost units")
    caller.end(program)
    print_line("  ended")


def _summary(answer: dict[str, object]) -> str:
    return f"number {answer['number']}, digest {str(answer['digest'])[:12]}"


def start(running: Deployment) -> None:
    """Start all processes, import both inventories and wait until they are known."""
    print_line("starting the platform's and the endpoints' stand-ins")
    running.start_platform()
    inventories = [
        running.start_endpoints(example_inventory(script.organisation))
        for script in (ORO, JALBANDI)
    ]
    print_line(f"starting {INSTANCES} instances of three daemons each")
    for number in range(1, INSTANCES + 1):
        running.start_instance(f"instance-{number}", f"ar-centro-{number}")
    running.wait_ready()
    control = running.instances[0].control_url
    for inventory in inventories:
        import_inventory(control, inventory, PLATFORM_KEY)
    for script in (ORO, JALBANDI):
        for instance in running.instances:
            wait_for_key(Caller(instance.entry_url, script.key, script.user))


def run(running: Deployment) -> None:
    """Start all processes and run both programs."""
    start(running)
    url = running.instances[0].entry_url
    for script in (ORO, JALBANDI):
        run_program(Caller(url, script.key, script.user), script)
    running.check()


def run_reporting_dead_process(running: Deployment) -> None:
    """Run the demo.

    Raises:
        ProcessDiedError: If the demo fails and a process has ended: that is the cause.
    """
    try:
        run(running)
    except (OSError, Refusal):
        running.check()
        raise


def wait_for_key(caller: Caller) -> None:
    """Wait up to 10 s until the instance knows the organisation's inventory."""
    deadline_s = time.monotonic() + 10
    while True:
        try:
            caller.addresses()
            return
        except Exception:
            if time.monotonic() > deadline_s:
                raise
            time.sleep(0.05)


def main() -> int:
    """Run the demo; return the exit code."""
    start_s = time.monotonic()
    with tempfile.TemporaryDirectory() as directory:
        try:
            with deployment(Path(directory)) as running:
                run_reporting_dead_process(running)
        except (ProcessDiedError, OSError, Refusal) as error:
            print_line(f"\nthe demo failed: {error}")
            return 1
    print_line(f"\nall processes stopped; {time.monotonic() - start_s:.1f} s in all")
    return 0


if __name__ == "__main__":
    sys.exit(main())
