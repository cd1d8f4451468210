"""Command line for inventories and rules; its docstrings are the help texts."""

from __future__ import annotations

import uuid

import msgspec

from .cli_session import Session, checked_count, checked_name, command, read_file
from .configuration import ChangeRow, ImportResult
from .control_client import ControlUnreachableError
from .differences import Difference
from .inventory import Rules
from .inventory_checks import parse_inventory
from .operators import InventoryReport
from .tables import difference_text, history_text, inventory_text, rules_text


class InventoryCommands:
    """Imports and shows the inventory of an organisation."""

    def __init__(self, session: Session) -> None:
        self._session = session

    @command
    def _import(self, file: str, revision: int = 0, change: str = "") -> None:
        """Put an inventory file in force.

        The first import of an organisation needs the platform operators' key.

        Example:
            carobspur inventory import oro-recupero.json --revision=7

        Args:
            file: JSON file of the whole inventory.
            revision: Revision of the organisation's inventory that you saw; 0 for the
                first import.
            change: Id of the change; give the same one again after a lost answer.
        """
        document = read_file(file)
        name = parse_inventory(document).organisation
        change_id = checked_name(change, "change") if change != "" else uuid.uuid4().hex
        headers = {
            "If-Match": f'"{checked_count(revision, "revision")}"',
            "Carobspur-Change": change_id,
        }
        session = self._session
        try:
            answer = session.request_for(
                name, "PUT", "inventory", body=document, headers=headers
            )
        except ControlUnreachableError as error:
            error.message += (
                f"; the change may be in force: repeat with --change={change_id}"
            )
            raise
        result = msgspec.convert(answer, ImportResult)
        done = "is in force" if result.changed else "was in force already"
        session.show(result, lambda item: f"{name}: revision {item.revision} {done}")

    @command
    def show(self) -> None:
        """Show the inventory in force with its revision.

        Example:
            carobspur inventory show --json > inventory.json
        """
        answer = self._session.request_own("GET", "inventory")
        self._session.show(msgspec.convert(answer, InventoryReport), inventory_text)

    @command
    def diff(self, file: str) -> None:
        """Show how a file differs from the inventory in force.

        Example:
            carobspur inventory diff oro-recupero.json

        Args:
            file: JSON file of the whole inventory.
        """
        document = read_file(file)
        name = parse_inventory(document).organisation
        path = "inventory/difference"
        answer = self._session.request_for(name, "POST", path, body=document)
        self._session.show(msgspec.convert(answer, list[Difference]), difference_text)

    @command
    def history(self, limit: int = 50) -> None:
        """Show the last changes of the inventory, oldest first.

        Example:
            carobspur inventory history --limit=10

        Args:
            limit: Most changes to show.
        """
        count = checked_count(limit, "limit")
        answer = self._session.request_own("GET", f"inventory/history?limit={count}")
        self._session.show(msgspec.convert(answer, list[ChangeRow]), history_text)


# "import" is a Python keyword, so the command cannot be defined by a def statement.
setattr(InventoryCommands, "import", InventoryCommands._import)


class RulesCommands:
    """Shows the rules of an organisation."""

    def __init__(self, session: Session) -> None:
        self._session = session

    @command
    def show(self) -> None:
        """Show the rules in force; they are changed by importing the inventory.

        Example:
            carobspur rules show --organisation=oro-recupero
        """
        answer = self._session.request_own("GET", "rules")
        self._session.show(msgspec.convert(answer, Rules), rules_text)
