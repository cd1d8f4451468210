"""Shared by all commands: global options, the client and checked arguments."""

from __future__ import annotations

import functools
import os
import re
from collections.abc import Callable
from pathlib import Path
from typing import Any

from .control_client import ControlClient
from .errors import CarobspurError
from .tables import Renderer, json_text

KEY_VARIABLE = "CAROBSPUR_KEY"
CONTROL_VARIABLE = "CAROBSPUR_CONTROL"
ORGANISATION_VARIABLE = "CAROBSPUR_ORGANISATION"
CA_VARIABLE = "CAROBSPUR_CA"
_NAME = re.compile(r"[A-Za-z0-9][A-Za-z0-9_.-]{0,99}\Z")


class UsageError(CarobspurError):
    """The command line or an environment variable is invalid."""

    cause = "usage"


class Job:
    """A parsed command; it runs once the whole command line was understood.

    Args:
        act: Does what the command says.
    """

    __slots__ = ("_act",)

    def __init__(self, act: Callable[[], None]) -> None:
        self._act = act


def run_job(job: Job) -> None:
    """Run a parsed command."""
    job._act()


def command(method: Callable[..., None]) -> Callable[..., Job]:
    """Decorate a method so that it returns a :class:`Job` instead of running.

    ``fire`` calls a command before it parses the rest of the command line. A
    misspelt option must be reported before the command has run.
    """

    @functools.wraps(method)
    def _parsed(*args: Any, **options: Any) -> Job:
        return Job(functools.partial(method, *args, **options))

    return _parsed


class Session:
    """Global options of a command line, requests to control, and output.

    Args:
        organisation: Name of the organisation, or empty.
        control: Addresses of control processes, separated by commas.
        json: Whether answers are shown as JSON.
    """

    def __init__(self, organisation: Any, control: Any, json: Any) -> None:
        self._organisation = organisation
        self._control = str(control)
        self._json = json is True

    def show(self, content: Any, render: Renderer) -> None:
        """Print an answer as JSON or as text, as the options say."""
        print(json_text(content) if self._json else render(content))

    def request_own(self, method: str, path: str, **options: Any) -> Any:
        """Send a request about the organisation that the options name.

        Raises:
            UsageError: No organisation is given.
        """
        name = self._organisation
        if not name:
            raise UsageError(
                f"no organisation: give --organisation or set {ORGANISATION_VARIABLE}"
            )
        return self.request_for(
            checked_name(name, "organisation"), method, path, **options
        )

    def request_for(
        self, organisation: str, method: str, path: str, **options: Any
    ) -> Any:
        """Send a request about a given organisation.

        Args:
            organisation: Name of the organisation.
            method: HTTP method.
            path: Path below the organisation's.
            options: Further arguments of the control client.
        """
        full_path = f"/v1/organisations/{organisation}/{path}"
        return self.request(method, full_path, **options)

    def request(self, method: str, path: str, **options: Any) -> Any:
        """Send a request with an absolute path to the first control that answers."""
        return self._client().request(method, path, **options)

    def _client(self) -> ControlClient:
        addresses = [item.strip().rstrip("/") for item in self._control.split(",")]
        if not all(item.startswith(("http://", "https://")) for item in addresses):
            raise UsageError(
                "no control address: give --control=http://IP:port (several with "
                f"commas between) or set {CONTROL_VARIABLE}"
            )
        key = os.environ.get(KEY_VARIABLE, "")
        if not key:
            raise UsageError(f"no key: set {KEY_VARIABLE} to your operator key")
        return ControlClient(addresses, key, ca_file=os.environ.get(CA_VARIABLE, ""))


def read_file(file: Any) -> bytes:
    """Return the content of a file that is named on the command line.

    Raises:
        UsageError: It cannot be read.
    """
    path = Path(str(file))
    try:
        return path.read_bytes()
    except OSError as error:
        raise UsageError(f"{path}: {error.strerror}") from error


def checked_name(value: Any, option: str) -> str:
    """Return a name that was given on the command line.

    Args:
        value: The argument as fire parsed it.
        option: Name of the argument, for the message.

    Raises:
        UsageError: It has characters that names must not have.
    """
    text = str(value)
    if not _NAME.match(text):
        raise UsageError(f"{option} {text!r}: expected letters, digits, '-', '_', '.'")
    return text


def checked_count(value: Any, option: str) -> int:
    """Return a non-negative integer that was given on the command line.

    Args:
        value: The argument as fire parsed it.
        option: Name of the option, for the message.

    Raises:
        UsageError: It is anything else.
    """
    if isinstance(value, bool) or not isinstance(value, int) or value < 0:
        raise UsageError(f"--{option}={value!r}: expected a whole number from 0")
    return value
