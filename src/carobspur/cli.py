"""The operators' command line."""

from __future__ import annotations

import os
import sys
import uuid
from pathlib import Path
from typing import Any

import fire
import msgspec
from tornado.httpclient import HTTPClient, HTTPError, HTTPRequest

from .errors import CarobspurError, RequestError
from .inventory_checks import parse_inventory
from .problem import Problem
from .settings import Settings

KEY_VARIABLE = "CAROBSPUR_KEY"
CONTROL_VARIABLE = "CAROBSPUR_CONTROL"
EXIT_FAILED = 1
EXIT_USAGE = 2
TIMEOUT_S = 10.0


class ControlClient:
    """Talks to a control process for one organisation.

    Args:
        control: Address of a control process, ``http://IP:port``.
        organisation: Name of the organisation.
        key: The operator's secret key.
    """

    __slots__ = ("_control", "_key", "_organisation")

    def __init__(self, control: str, organisation: str, key: str) -> None:
        self._control = control
        self._organisation = organisation
        self._key = key

    def ask(
        self,
        method: str,
        path: str,
        *,
        body: bytes | None = None,
        headers: dict[str, str] | None = None,
    ) -> Any:
        """Send a request and return the decoded JSON answer.

        Raises:
            RequestError: Control refused or can't be reached.
        """
        url = f"{self._control}/v1/organisations/{self._organisation}/{path}"
        request = HTTPRequest(
            url,
            method=method,
            body=body,
            headers={"Authorization": f"Bearer {self._key}", **(headers or {})},
            request_timeout=TIMEOUT_S,
        )
        client = HTTPClient()
        try:
            answer = client.fetch(request)
        except HTTPError as error:
            raise _refusal(error) from error
        except OSError as error:
            raise RequestError(f"{self._control} can't be reached: {error}") from error
        finally:
            client.close()
        return msgspec.json.decode(answer.body)


def _refusal(error: HTTPError) -> RequestError:
    if error.response is None or not error.response.body:
        return RequestError(f"no answer: {error}")
    try:
        problem = msgspec.json.decode(error.response.body, type=Problem)
    except msgspec.MsgspecError:
        return RequestError(f"control answered {error.code}")
    detail = bytes(problem.detail).decode() if problem.detail else ""
    return RequestError(f"{problem.cause}: {problem.title}", detail=detail)


class InventoryCommands:
    """Imports and shows the inventory of an organisation."""

    def __init__(self, client: ControlClient) -> None:
        self._client = client

    def import_(self, file: str, revision: int = 0, change: str = "") -> Any:
        """Put an inventory file in force.

        Args:
            file: JSON file of the whole inventory.
            revision: Revision of the organisation's inventory that you saw; 0 for
                the first import.
            change: Id of the change; give the same one again after a lost answer.
        """
        document = Path(file).read_bytes()
        parse_inventory(document)
        headers = {
            "If-Match": f'"{revision}"',
            "Carobspur-Change": change or uuid.uuid4().hex,
        }
        return self._client.ask("PUT", "inventory", body=document, headers=headers)

    def show(self) -> Any:
        """Show the inventory in force with its revision."""
        return self._client.ask("GET", "inventory")

    def diff(self, file: str) -> Any:
        """Show how a file differs from the inventory in force.

        Args:
            file: JSON file of the whole inventory.
        """
        document = Path(file).read_bytes()
        return self._client.ask("POST", "inventory/difference", body=document)

    def history(self) -> Any:
        """Show all changes of the inventory, oldest first."""
        return self._client.ask("GET", "inventory/history")


class SettingsCommands:
    """Checks settings files."""

    def check(self, file: str) -> str:
        """Check a settings file and name every fault.

        Args:
            file: The INI file.
        """
        Settings.read(file)
        return f"{file}: no faults"


class Commands:
    """Operates carobspur.

    Args:
        organisation: Name of the organisation.
        control: Address of any control process, ``http://IP:port``; the default is
            the environment variable CAROBSPUR_CONTROL.

    The operator's key is read from the environment variable CAROBSPUR_KEY.
    """

    def __init__(self, organisation: str = "", control: str = "") -> None:
        address = control or os.environ.get(CONTROL_VARIABLE, "")
        client = ControlClient(
            address.rstrip("/"), organisation, os.environ.get(KEY_VARIABLE, "")
        )
        self._client = client
        self.inventory = InventoryCommands(client)
        self.settings = SettingsCommands()

    def status(self) -> Any:
        """Show instances, shards, the revision in force, and endpoints."""
        return self._client.ask("GET", "status")


def _as_text(result: Any) -> Any:
    if isinstance(result, (dict, list)):
        return msgspec.json.format(msgspec.json.encode(result), indent=2).decode()
    return result


def main() -> None:
    """Entry point of ``carobspur``."""
    try:
        fire.Fire(Commands, name="carobspur", serialize=_as_text)
    except CarobspurError as error:
        print(error.message, file=sys.stderr)
        if error.detail:
            print(error.detail, file=sys.stderr)
        sys.exit(EXIT_FAILED)
    except OSError as error:
        print(error, file=sys.stderr)
        sys.exit(EXIT_USAGE)
