"""The caller-facing HTTP handlers."""

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
    """A handler that knows who is calling."""

    unready_verdict = NOT_RUN

    def initialize(self, entry: Entry) -> None:
        """Take what the handlers share."""
        self._entry = entry
        self._organisation = ""
        entry.request_began()

    def prepare(self) -> None:
        """Refuse what this instance can't serve."""
        limit = self._entry.max_body_bytes
        if len(self.request.body) > limit:
            raise BodyTooLargeError(f"the body has more than {limit} bytes")
        if not self._entry.view.is_fresh:
            raise NotReadyError(
                "this instance is not ready",
                verdict=self.unready_verdict,
                retry_after_s=1.0,
            )

    def require_current_configuration(self) -> None:
        """Refuse new programs while it is not known which inventory is in force."""
        if not self._entry.view.is_ready:
            raise NotReadyError("this instance is out of contact", retry_after_s=1.0)

    def on_finish(self) -> None:
        """Count the request."""
        self._entry.request_ended()
        outcome = "ok" if self.get_status() < 400 else str(self.get_status())
        kind = type(self).__name__.removesuffix("Handler").lower()
        REQUESTS.labels(self._organisation, kind, outcome).inc()

    def caller_message(self) -> Any:
        """Return who is calling, as a ``Caller`` message.

        Raises:
            UnauthenticatedError: The key is not known.
            ForbiddenError: The key is not a caller's, or speaks for another user.
            RequestError: No user is named.
        """
        inventory, key = self._authenticate()
        named_user = self.request.headers.get("Carobspur-User", "")
        if key.user and named_user not in ("", key.user):
            raise ForbiddenError("this key speaks for another user")
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
            RequestError: There is none, or it is too long.
        """
        key = self.request.headers.get("Idempotency-Key", "")
        if not 0 < len(key) <= MAX_KEY_LENGTH or not key.isprintable():
            raise RequestError(
                f"the header Idempotency-Key must have 1 to {MAX_KEY_LENGTH} printable "
                "letters"
            )
        return key

    def decode_body(self, cls: type) -> Any:
        """Read the request's body.

        Raises:
            RequestError: It is not what is expected.
        """
        try:
            return msgspec.json.decode(self.request.body, type=cls)
        except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError) as error:
            raise RequestError(f"the body is wrong: {error}") from error

    def checked_program_id(self, program: str) -> str:
        """Return a program's id from a path.

        Raises:
            NotFoundError: No program can have this id.
        """
        if not is_program_id(program):
            raise NotFoundError(f"no program {program[:MAX_KEY_LENGTH]!r}")
        return program

    def send_json(self, content: Any, status: int = 200) -> None:
        """Answer with JSON."""
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
            # A process that does not know what is in force can't judge a key.
            raise NotReadyError(
                "this instance does not know the keys in force",
                verdict=self.unready_verdict,
                retry_after_s=1.0,
            ) from None
        if key.role != Role.CALLER:
            raise ForbiddenError("this key is not a caller's")
        return inventory, key


class AddressesHandler(CallerHandler):
    """Answers which instances to use."""

    def get(self) -> None:
        """Answer."""
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
        self.send_json(AddressDocument(found, self._entry.keep_addresses_s))


class ProgramsHandler(CallerHandler):
    """Starts programs."""

    async def post(self) -> None:
        """Start one; the same idempotency key always gives the same program."""
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
        """Refuse a parent that is not the caller's, wherever its owner is."""
        request = messages.ShowProgram(
            caller=caller, program=parent, with_history=False
        )
        await self._entry.forwarder.forward(parent, SHOW_PROGRAM, request)


class ProgramHandler(CallerHandler):
    """Shows and ends programs."""

    async def get(self, program: str, history: str | None = None) -> None:
        """Show one."""
        request = messages.ShowProgram(
            caller=self.caller_message(),
            program=self.checked_program_id(program),
            with_history=bool(history),
        )
        found = await self._entry.forwarder.forward(program, SHOW_PROGRAM, request)
        self.set_header("Content-Type", "application/json")
        self.finish(found.document)

    async def delete(self, program: str, history: str | None = None) -> None:
        """End one."""
        request = messages.EndProgram(
            caller=self.caller_message(),
            program=self.checked_program_id(program),
            reason="ended by its caller",
        )
        await self._entry.forwarder.forward(program, END_PROGRAM, request)
        self.set_status(204)
        self.finish()


class CallHandler(CallerHandler):
    """Runs calls.

    An entry process can't know what became of an earlier request for the same call.
    """

    unready_verdict = MAY_HAVE_RUN

    async def post(self, program: str, number: str) -> None:
        """Run a program's call."""
        body = self.decode_body(CallBody)
        if not 1 <= int(number) <= MAX_CALL_NUMBER:
            raise RequestError(f"call numbers go from 1 to {MAX_CALL_NUMBER}")
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
        """Forward a call and answer with JSON or a stream."""
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
    """Runs calls that belong to no program."""

    async def post(self) -> None:
        """Run one call."""
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
            "letters, without '/' and '*'"
        )


def caller_routes(entry: Entry) -> list[tuple[str, type, dict[str, Any]]]:
    """Return the callers' routes."""
    options = {"entry": entry}
    return [
        (r"/v1/addresses", AddressesHandler, options),
        (r"/v1/programs", ProgramsHandler, options),
        (r"/v1/programs/([^/]+)", ProgramHandler, options),
        (r"/v1/programs/([^/]+)/(history)", ProgramHandler, options),
        (r"/v1/programs/([^/]+)/calls/([0-9]{1,9})", CallHandler, options),
        (r"/v1/calls", SingleCallHandler, options),
    ]
