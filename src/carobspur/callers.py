"""HTTP handlers for callers: addresses, programs and calls."""

from __future__ import annotations

from typing import Any

import msgspec

from .addresses import addresses
from .documents import (
    AddressDocument,
    CallBody,
    CallDocument,
    StartBody,
    StartDocument,
    is_program_id,
)
from .entry_parts import Entry
from .errors import (
    BodyTooLargeError,
    CarobspurError,
    ForbiddenError,
    NotFoundError,
    NotReadyError,
    RequestError,
    UnauthenticatedError,
)
from .inventory import Inventory, Key, Role
from .metrics import REQUESTS
from .peers import (
    END_PROGRAM,
    RUN_CALL,
    RUN_SINGLE_CALL,
    SHOW_PROGRAM,
    START_PROGRAM,
    messages,
)
from .problem import ProblemHandler, bearer_secret
from .programs import call_id, program_id
from .stream_writer import StreamWriter
from .verdict import MAY_HAVE_RUN, NOT_RUN

MAX_KEY_LENGTH = 200
MAX_USER_LENGTH = 200
MAX_CALL_NUMBER = 1_000_000


class CallerHandler(ProblemHandler):
    """Base of the handlers that authenticate a caller.

    Attributes:
        unready_verdict: Verdict of a refusal because this process does not know the
            current configuration.
    """

    unready_verdict = NOT_RUN

    def initialize(self, entry: Entry) -> None:
        """Store the shared state and count the request."""
        self._entry = entry
        self._organisation = ""
        entry.request_began()

    def prepare(self) -> None:
        """Refuse large bodies, and every request while the view is out of date."""
        limit = self._entry.max_body_bytes
        if len(self.request.body) > limit:
            raise BodyTooLargeError(f"the body has more than {limit} bytes")
        if not self._entry.view.is_fresh:
            raise NotReadyError(
                "this instance has no current view of the system",
                verdict=self.unready_verdict,
                retry_after_s=1.0,
            )

    def require_current_configuration(self) -> None:
        """Refuse to start new work while the inventory in force is unknown.

        Raises:
            NotReadyError: This instance's configuration may be out of date.
        """
        if not self._entry.view.is_ready:
            raise NotReadyError(
                "this instance may not have the current configuration",
                retry_after_s=1.0,
            )

    def on_finish(self) -> None:
        """Record the request's outcome in the metrics.

        The class name without ``Handler`` is the metric's label ``kind``.
        """
        self._entry.request_ended()
        outcome = "ok" if self.get_status() < 400 else str(self.get_status())
        kind = type(self).__name__.removesuffix("Handler").lower()
        REQUESTS.labels(self._organisation, kind, outcome).inc()

    def caller_message(self) -> Any:
        """Authenticate the request and return its ``Caller`` message.

        The user comes from the key, or from the header ``Carobspur-User`` where the
        key is not bound to a user.

        Raises:
            UnauthenticatedError: The key is unknown.
            ForbiddenError: The key's role is not caller, or the key is bound to
                another user.
            RequestError: The user name is missing or invalid.
        """
        inventory, key = self._authenticate()
        named_user = self.request.headers.get("Carobspur-User", "")
        if key.user and named_user not in ("", key.user):
            raise ForbiddenError("this key is bound to another user")
        user = key.user or named_user
        _require_user_name(user)
        self._organisation = inventory.organisation
        return messages.Caller(
            organisation=inventory.organisation,
            user=user,
            revision=self._entry.view.revision,
        )

    def idempotency_key(self) -> str:
        """Return the request's idempotency key.

        Raises:
            RequestError: It is missing, too long, or has unprintable characters.
        """
        key = self.request.headers.get("Idempotency-Key", "")
        if not 0 < len(key) <= MAX_KEY_LENGTH or not key.isprintable():
            raise RequestError(
                f"the header Idempotency-Key must have 1 to {MAX_KEY_LENGTH} printable "
                "characters"
            )
        return key

    def decode_body(self, cls: type) -> Any:
        """Decode the request's JSON body.

        Args:
            cls: Struct type of the body.

        Raises:
            RequestError: The body is not JSON, or does not match the type.
        """
        try:
            return msgspec.json.decode(self.request.body, type=cls)
        except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError) as error:
            raise RequestError(f"the request body is invalid: {error}") from error

    def checked_program_id(self, program: str) -> str:
        """Return the program id of a path if it has the form of an id.

        Raises:
            NotFoundError: It does not, so no such program exists.
        """
        if not is_program_id(program):
            raise NotFoundError(f"no program {program[:MAX_KEY_LENGTH]!r}")
        return program

    def send_json(self, content: Any, status: int = 200) -> None:
        """Finish the response with a JSON body."""
        self.set_status(status)
        self.set_header("Content-Type", "application/json")
        self.finish(msgspec.json.encode(content))

    def _authenticate(self) -> tuple[Inventory, Key]:
        secret = bearer_secret(self.request.headers.get("Authorization", ""))
        try:
            inventory, key = self._entry.view.authenticate(secret)
        except UnauthenticatedError:
            if self._entry.view.is_ready:
                raise
            # An outdated inventory may lack new keys, so the key may still be valid.
            raise NotReadyError(
                "this instance may not have the current keys",
                verdict=self.unready_verdict,
                retry_after_s=1.0,
            ) from None
        if key.role != Role.CALLER:
            raise ForbiddenError("this key does not have the role caller")
        return inventory, key


class AddressesHandler(CallerHandler):
    """Returns the addresses of the instances that a caller should use."""

    def get(self) -> None:
        """Return addresses; the program's owner, if given, comes first.

        Raises:
            NotReadyError: No instance is known yet to which callers may be directed.
        """
        self._authenticate()
        view = self._entry.view
        program = self.get_query_argument("program", "")
        owner = view.owner_of(program) if program else None
        found = addresses(
            self._entry.usable_instances,
            owner_instance=None if owner is None else owner.instance,
            rotation=self._entry.rotation,
            data_centre=self.get_query_argument("data_centre", ""),
        )
        if not found:
            raise NotReadyError(
                "no instance with a scheduler is known yet", retry_after_s=1.0
            )
        self.send_json(AddressDocument(found, self._entry.keep_addresses_s))


class ProgramsHandler(CallerHandler):
    """Creates programs."""

    async def post(self) -> None:
        """Create a program; a repeated idempotency key returns the existing one."""
        self.require_current_configuration()
        caller = self.caller_message()
        body = self.decode_body(StartBody)
        program = program_id(caller.organisation, caller.user, self.idempotency_key())
        if body.parent:
            await self._require_own_parent(caller, body.parent)
        request = messages.StartProgram(
            caller=caller,
            program=program,
            agent=body.agent,
            parent=body.parent,
            deadline_s=body.deadline_s,
        )
        result = await self._entry.forwarder.forward(program, START_PROGRAM, request)
        self.send_json(StartDocument(program), 201 if result.created else 200)

    async def _require_own_parent(self, caller: Any, parent: str) -> None:
        """Refuse a parent program that the caller may not see.

        The parent's owner checks this and may be another scheduler.
        """
        request = messages.ShowProgram(
            caller=caller, program=parent, with_history=False
        )
        await self._entry.forwarder.forward(parent, SHOW_PROGRAM, request)


class ProgramHandler(CallerHandler):
    """Returns and ends programs."""

    async def get(self, program: str, history: str | None = None) -> None:
        """Return a program, with its history if the path asks for it."""
        request = messages.ShowProgram(
            caller=self.caller_message(),
            program=self.checked_program_id(program),
            with_history=bool(history),
        )
        found = await self._entry.forwarder.forward(program, SHOW_PROGRAM, request)
        self.set_header("Content-Type", "application/json")
        self.finish(found.document)

    async def delete(self, program: str, history: str | None = None) -> None:
        """End a program."""
        request = messages.EndProgram(
            caller=self.caller_message(),
            program=self.checked_program_id(program),
            reason="ended by its caller",
        )
        await self._entry.forwarder.forward(program, END_PROGRAM, request)
        self.set_status(204)
        self.finish()


class CallHandler(CallerHandler):
    """Runs calls of programs.

    An entry process does not know the outcome of earlier requests for the same call,
    so its own refusals say that the call may have run.
    """

    unready_verdict = MAY_HAVE_RUN

    async def post(self, program: str, number: str) -> None:
        """Run the call with this number."""
        body = self.decode_body(CallBody)
        if not 1 <= int(number) <= MAX_CALL_NUMBER:
            raise RequestError(f"call numbers range from 1 to {MAX_CALL_NUMBER}")
        request = messages.RunCall(
            caller=self.caller_message(),
            program=self.checked_program_id(program),
            number=int(number),
            endpoint=body.endpoint,
            input=bytes(body.input),
            stream=body.stream,
        )
        await self.run(program, RUN_CALL, request)

    async def run(self, program: str, method: Any, request: Any) -> None:
        """Forward a call and answer with JSON or server-sent events.

        Once a stream has begun, errors are its last event rather than a status.
        """
        writer = StreamWriter(self) if request.stream else None
        try:
            answer = await self._entry.forwarder.forward(
                program,
                method,
                request,
                on_part=writer.write_part if writer else None,
                timeout_s=self._entry.call_timeout_s,
            )
        except CarobspurError as error:
            if writer is None or not writer.has_begun:
                raise
            writer.fail(error)
            return
        document = CallDocument(
            program=program,
            number=answer.number,
            call=call_id(program, answer.number),
            digest=answer.digest,
            output=msgspec.Raw(answer.output),
            durable=answer.durable,
            replayed=answer.replayed,
            cost_units=answer.cost_units or 0,
        )
        if writer is None:
            self.send_json(document)
        else:
            writer.finish(document)


class SingleCallHandler(CallHandler):
    """Runs single calls, each in an implicit program of its own."""

    async def post(self) -> None:
        """Run a call; its idempotency key determines the implicit program."""
        self.require_current_configuration()
        body = self.decode_body(CallBody)
        caller = self.caller_message()
        key = "single\x00" + self.idempotency_key()
        program = program_id(caller.organisation, caller.user, key)
        request = messages.RunSingleCall(
            caller=caller,
            program=program,
            endpoint=body.endpoint,
            input=bytes(body.input),
            stream=body.stream,
        )
        await self.run(program, RUN_SINGLE_CALL, request)


def _require_user_name(user: str) -> None:
    if not user:
        raise RequestError("the header Carobspur-User is missing")
    if len(user) > MAX_USER_LENGTH or not user.isprintable() or set(user) & set("/*"):
        raise RequestError(
            f"the header Carobspur-User must have 1 to {MAX_USER_LENGTH} printable "
            "characters, without '/' and '*'"
        )


def caller_routes(entry: Entry) -> list[tuple[str, type, dict[str, Any]]]:
    """Return the URL routes for callers."""
    options = {"entry": entry}
    return [
        (r"/v1/addresses", AddressesHandler, options),
        (r"/v1/programs", ProgramsHandler, options),
        (r"/v1/programs/([^/]+)", ProgramHandler, options),
        (r"/v1/programs/([^/]+)/(history)", ProgramHandler, options),
        (r"/v1/programs/([^/]+)/calls/([0-9]{1,9})", CallHandler, options),
        (r"/v1/calls", SingleCallHandler, options),
    ]
