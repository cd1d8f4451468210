"""Command line for operators.

The docstrings of the command classes and their methods are the help texts.
"""

from __future__ import annotations

import os
import secrets
import sys
from collections.abc import Iterator
from itertools import chain
from pathlib import Path
from typing import Any, TextIO

import fire
import msgspec

from .cli_inventory import InventoryCommands, RulesCommands
from .cli_session import (
    CONTROL_VARIABLE,
    ORGANISATION_VARIABLE,
    Job,
    Session,
    UsageError,
    checked_name,
    command,
    run_job,
)
from .control_client import ControlUnreachableError
from .differences import Difference
from .errors import (
    CarobspurError,
    InventoryConflictError,
    InventoryError,
)
from .gateway.explanation import explain as explain_request
from .gateway.explanation import read_events
from .gateway.failures import failure_groups
from .gateway.objectives import KindBurn, burn_rates
from .gateway.program_losses import loss_groups
from .gateway.settings import GatewaySettings
from .inventory import Key, Role
from .inventory_checks import Fault
from .keys import secret_digest
from .plugin_registry import PluginKind, load_plugins, plugin
from .settings import Settings
from .status import StatusReport
from .tables import (
    difference_text,
    failure_text,
    loss_text,
    status_text,
    table,
)
from .tls import check_tls

EXIT_REFUSED = 1
EXIT_USAGE = 2
EXIT_UNREACHABLE = 3
EXIT_CONFLICT = 4
SECRET_BYTES = 32


def _open_files(paths: tuple[str, ...]) -> Iterator[TextIO]:
    """Yield each file opened for reading; standard input if there are no paths."""
    if not paths:
        yield sys.stdin
    for path in paths:
        try:
            with Path(path).open(encoding="utf-8", errors="replace") as file:
                yield file
        except OSError as error:
            raise UsageError(f"cannot read {path}: {error}") from error


def _burn_text(burns: list[KindBurn]) -> str:
    rows = [
        (item.kind, item.answers, item.late, item.missed, f"{item.rate:.2f}")
        for item in burns
    ]
    return table(("kind", "answers", "late", "missed", "burn rate"), rows)


class ProgramCommands:
    """Shows and stops programs of an organisation."""

    def __init__(self, session: Session) -> None:
        self._session = session

    @command
    def show(self, program: str) -> None:
        """Show a program without its history.

        Example:
            carobspur program show p234950b9c6718c2e99d1ad7a1cc18079

        Args:
            program: Id of the program.
        """
        path = f"programs/{checked_name(program, 'program')}"
        answer = self._session.request_own("GET", path)
        self._session.show(
            answer,
            lambda item: table(("program", item["program"]), _other_fields(item)),
        )

    @command
    def stop(self, program: str) -> None:
        """Stop a program and its sub-agents, if the rules let your key do so.

        Example:
            carobspur program stop p234950b9c6718c2e99d1ad7a1cc18079

        Args:
            program: Id of the program.
        """
        name = checked_name(program, "program")
        self._session.request_own("DELETE", f"programs/{name}")
        self._session.show({"stopped": name}, lambda item: f"{name} is stopped")


class ReportCommands:
    """Reports on an organisation's programs, and on gateways."""

    def __init__(self, session: Session) -> None:
        self._session = session

    @command
    def gateways(self, *pages: str, objective: float = 0.99) -> None:
        """Show how fast gateways use up what their objectives allow, by kind of route.

        A burn rate of 1 uses up exactly what may be late or fail.

        Example:
            carobspur report gateways metrics-*.txt --objective=0.99

        Args:
            pages: Files with what gateways' metrics addresses gave; none for
                standard input.
            objective: Share of answers that must meet their route's times.
        """
        if not 0.0 <= objective < 1.0:
            raise UsageError(f"objective: {objective} is not from 0 to below 1")
        texts = (file.read() for file in _open_files(pages))
        burns = burn_rates(texts, objective_share=objective)
        self._session.show(burns, _burn_text)

    @command
    def burn(self, plot: str = "") -> None:
        """Show how fast each agent uses up its service-level objective.

        A burn rate of 1 uses the error budget up in exactly the window.

        Example:
            carobspur report burn --plot=burn.png

        Args:
            plot: PNG file to draw burn rates and budgets into; none if empty.
        """
        load_plugins()
        reporter = plugin(PluginKind.REPORTS, "burn")()
        report = reporter.decode(self._session.request_own("GET", "reports/burn"))
        if plot != "":
            reporter.plot(report, Path(str(plot)))
        self._session.show(report, reporter.text)


class SettingsCommands:
    """Checks settings files."""

    def __init__(self, session: Session) -> None:
        self._session = session

    @command
    def check(self, file: str) -> None:
        """Check a settings file and name every fault.

        Example:
            carobspur settings check instance.ini

        Args:
            file: The INI file.
        """
        check_tls(Settings.read(str(file)).tls)
        self._session.show({"faults": []}, lambda _: f"{file}: no faults")

    @command
    def check_gateway(self, file: str) -> None:
        """Check a gateway's settings file and name every fault.

        Example:
            carobspur settings check-gateway gateway.ini

        Args:
            file: The INI file.
        """
        GatewaySettings.read(str(file))
        self._session.show({"faults": []}, lambda _: f"{file}: no faults")


class KeyCommands:
    """Makes keys."""

    def __init__(self, session: Session) -> None:
        self._session = session

    @command
    def new(self, name: str, role: str = "caller", user: str = "") -> None:
        """Make a secret key and print it with its entry for the inventory.

        Example:
            carobspur key new shops-2027 --role=caller

        Args:
            name: Name of the key, for people and logs.
            role: caller, operator or viewer.
            user: The only user it speaks for; empty for any.
        """
        roles = [item.value for item in Role]
        if role not in roles:
            raise UsageError(f"--role={role!r}: expected one of {', '.join(roles)}")
        secret = secrets.token_urlsafe(SECRET_BYTES)
        digest = secret_digest(secret)
        key = Key(checked_name(name, "name"), digest, Role(role), str(user))
        entry = msgspec.json.encode(key).decode()
        self._session.show(
            {"secret": secret, "entry": key},
            lambda _: f"secret (shown only now): {secret}\ninventory entry: {entry}",
        )


class Commands:
    """Operates carobspur.

    Examples:
        export CAROBSPUR_CONTROL=http://10.1.0.1:7304,http://10.1.0.2:7304
        export CAROBSPUR_ORGANISATION=oro-recupero CAROBSPUR_KEY=...
        carobspur status
        carobspur inventory diff oro-recupero.json
        carobspur inventory import oro-recupero.json --revision=7

    Exit codes: 0 done, 1 refused, 2 wrong command line, 3 control can't be reached,
    4 somebody else's change came first.

    Args:
        organisation: Name of the organisation; default: CAROBSPUR_ORGANISATION.
        control: Addresses of control processes, http://IP:port, with commas between;
            default: CAROBSPUR_CONTROL.
        json: Show answers as JSON.
    """

    def __init__(
        self, organisation: str = "", control: str = "", json: bool = False
    ) -> None:
        session = Session(
            organisation or os.environ.get(ORGANISATION_VARIABLE, ""),
            control or os.environ.get(CONTROL_VARIABLE, ""),
            json,
        )
        self._session = session
        self.inventory = InventoryCommands(session)
        self.rules = RulesCommands(session)
        self.program = ProgramCommands(session)
        self.report = ReportCommands(session)
        self.settings = SettingsCommands(session)
        self.key = KeyCommands(session)

    @command
    def explain(self, request: str, *logs: str) -> None:
        """Tell why a request of a gateway was answered as it was, from its logs.

        Example:
            carobspur explain 9c41d07be2a35f68 gateway-*.log

        Args:
            request: The request's id.
            logs: Decision logs of any gateways; none for standard input.
        """
        events = chain.from_iterable(map(read_events, _open_files(logs)))
        found = explain_request(str(request), events)
        self._session.show(found.as_dict(), lambda _: found.text())

    @command
    def failures(self, *logs: str, programs: bool = False) -> None:
        """Count the failed requests of gateways by cause, from their logs.

        Example:
            carobspur failures gateway-*.log
            carobspur failures gateway-*.log --programs=True

        Args:
            logs: Decision logs of any gateways; none for standard input.
            programs: Count the programs that ended so instead, by time and cause.
        """
        events = chain.from_iterable(map(read_events, _open_files(logs)))
        if programs:
            losses = [group.as_dict() for group in loss_groups(events)]
            self._session.show(losses, loss_text)
            return
        groups = failure_groups(events)
        self._session.show([group.as_dict() for group in groups], failure_text)

    @command
    def status(self) -> None:
        """Show instances, data centres, the revision in force, endpoints, budgets.

        Example:
            carobspur status --organisation=oro-recupero
        """
        answer = self._session.request_own("GET", "status")
        self._session.show(msgspec.convert(answer, StatusReport), status_text)

    @command
    def drain(self, instance: str) -> None:
        """Hand an instance's programs over to the others; needs the platform's key.

        Example:
            carobspur drain instance-3

        Args:
            instance: Id of the instance.
        """
        self._set_draining(instance, "drain", "hands its programs over")

    @command
    def undrain(self, instance: str) -> None:
        """Let a drained instance take programs again; needs the platform's key.

        Example:
            carobspur undrain instance-3

        Args:
            instance: Id of the instance.
        """
        self._set_draining(instance, "undrain", "takes programs again")

    def _set_draining(self, instance: str, action: str, effect: str) -> None:
        name = checked_name(instance, "instance")
        path = f"/v1/instances/{name}/{action}"
        answer = self._session.request("POST", path, body=b"")
        self._session.show(answer, lambda _: f"{name} {effect}")


def _other_fields(answer: dict[str, Any]) -> list[tuple[str, object]]:
    """Return the fields of a program's document except its id."""
    return [(name, value) for name, value in answer.items() if name != "program"]


def _error_text(error: CarobspurError) -> str:
    """Return an error as human-readable text with its details."""
    match error:
        case InventoryConflictError():
            changes = msgspec.json.decode(error.detail, type=list[Difference])
            return f"{error.message}\n{difference_text(changes)}"
        case InventoryError() if error.detail:
            faults = msgspec.json.decode(error.detail, type=list[Fault])
            lines = [f"  {fault.place}: {fault.reason}" for fault in faults]
            return "\n".join(["the inventory has faults; nothing changed:", *lines])
        case _ if error.retry_after_s:
            return f"{error.message}; try again in {error.retry_after_s:g} s"
        case _:
            return error.message


def _exit_code(error: CarobspurError) -> int:
    match error:
        case UsageError():
            return EXIT_USAGE
        case ControlUnreachableError():
            return EXIT_UNREACHABLE
        case InventoryConflictError():
            return EXIT_CONFLICT
        case _:
            return EXIT_REFUSED


def run(arguments: list[str]) -> int:
    """Parse and run one command line; return its exit code."""
    try:
        job = fire.Fire(
            Commands,
            command=arguments,
            name="carobspur",
            serialize=lambda item: None if isinstance(item, Job) else item,
        )
        if isinstance(job, Job):
            run_job(job)
    except CarobspurError as error:
        print(f"carobspur: {_error_text(error)}", file=sys.stderr)
        return _exit_code(error)
    except OSError as error:
        print(f"carobspur: {error}", file=sys.stderr)
        return EXIT_REFUSED
    except fire.core.FireExit as stop:
        return stop.code or 0
    return 0


def main() -> None:
    """Entry point of ``carobspur``."""
    sys.exit(run(sys.argv[1:]))
