"""Sample client of carobspur with the requests that an agent program needs.

It uses only the standard library.
"""

from __future__ import annotations

import json
import uuid
from collections.abc import Callable
from typing import Any
from urllib.error import HTTPError
from urllib.request import Request, urlopen

TIMEOUT_S = 60.0


class Refusal(Exception):  # noqa: N818 - a refusal is an answer, not a fault
    """carobspur answered with an error status and a problem document.

    Attributes:
        problem: The document; ``verdict`` says whether the call may have been
            executed.
    """

    def __init__(self, problem: dict[str, Any]) -> None:
        super().__init__(f"{problem['cause']}: {problem['title']}")
        self.problem = problem


class Caller:
    """Sends requests for one user of an organisation.

    All methods raise :class:`Refusal` on an error answer and ``URLError`` where the
    instance cannot be reached.

    Args:
        url: Base URL of any instance.
        key: Caller key of the organisation.
        user: User for whom the programs run.
    """

    def __init__(self, url: str, key: str, user: str) -> None:
        self._url = url
        self._headers = {"Authorization": f"Bearer {key}", "Carobspur-User": user}

    def addresses(self, program: str = "") -> list[dict[str, Any]]:
        """Return the addresses to use, and use the first of them from now on.

        Args:
            program: Program that will be called; empty for none in particular.
        """
        found = self.ask("GET", f"/v1/addresses?program={program}")["addresses"]
        self._url = f"http://{found[0]['host']}:{found[0]['port']}"
        return found

    def start(self, agent: str, *, parent: str = "") -> str:
        """Start a program and return its id.

        Args:
            agent: Agent of the organisation's inventory.
            parent: Id of the program whose sub-agent this is; empty for none.
        """
        body = {"agent": agent, "parent": parent}
        key = {"Idempotency-Key": uuid.uuid4().hex}
        return self.ask("POST", "/v1/programs", body, key)["program"]

    def call(
        self, program: str, number: int, endpoint: str, content: dict[str, Any]
    ) -> dict[str, Any]:
        """Run a call of a program and return its complete answer.

        Args:
            program: Id of the program.
            number: Number of the call in its program, from 1; a repeated number
                returns the stored answer.
            endpoint: Model or service of the inventory.
            content: Input of the call.
        """
        body = {"endpoint": endpoint, "input": content}
        return self.ask("POST", f"/v1/programs/{program}/calls/{number}", body)

    def stream(
        self,
        program: str,
        number: int,
        endpoint: str,
        content: dict[str, Any],
        on_token: Callable[[str], None],
    ) -> dict[str, Any]:
        """Run a model call and stream its answer.

        Args as :meth:`call`; ``on_token`` gets each piece of text as it arrives.

        Raises:
            Refusal: Also if the call fails after the stream has begun.
            ConnectionError: If the stream ends before its last event.
        """
        body = {"endpoint": endpoint, "input": content, "stream": True}
        path = f"/v1/programs/{program}/calls/{number}"
        with self._open("POST", path, body, {}) as answer:
            name = ""
            for line in answer:
                field, _, value = line.decode().rstrip("\n").partition(": ")
                if field == "event":
                    name = value
                elif field == "data" and name == "token":
                    on_token(json.loads(value))
                elif field == "data" and name == "done":
                    return json.loads(value)
                elif field == "data" and name == "problem":
                    raise Refusal(json.loads(value))
        raise ConnectionError("the stream ended before its last event")

    def single(self, endpoint: str, content: dict[str, Any]) -> dict[str, Any]:
        """Run a call that belongs to no program."""
        body = {"endpoint": endpoint, "input": content}
        return self.ask(
            "POST", "/v1/calls", body, {"Idempotency-Key": uuid.uuid4().hex}
        )

    def show(self, program: str, *, history: bool = False) -> dict[str, Any]:
        """Return the state of a program, or its calls if ``history`` is set."""
        tail = "/history" if history else ""
        return self.ask("GET", f"/v1/programs/{program}{tail}")

    def end(self, program: str) -> None:
        """End a program."""
        self.ask("DELETE", f"/v1/programs/{program}")

    def ask(
        self,
        method: str,
        path: str,
        body: dict[str, Any] | None = None,
        headers: dict[str, str] | None = None,
    ) -> Any:
        """Send a request and return its JSON answer, ``None`` for an empty one."""
        with self._open(method, path, body, headers or {}) as answer:
            content = answer.read()
        return json.loads(content) if content else None

    def _open(
        self,
        method: str,
        path: str,
        body: dict[str, Any] | None,
        headers: dict[str, str],
    ) -> Any:
        request = Request(
            self._url + path,
            method=method,
            data=None if body is None else json.dumps(body).encode(),
            headers={**self._headers, **headers},
        )
        try:
            return urlopen(request, timeout=TIMEOUT_S)
        except HTTPError as error:
            raise Refusal(json.loads(error.read())) from error
