"""The entry daemon: the caller-facing HTTP interface."""

from __future__ import annotations

import asyncio
import logging
import random
import time
from typing import Any

import fire
import msgspec
import tornado.web

from .addresses import AddressAnswer, Rotation, addresses
from .clock import LoopClock
from .daemon import background, http_server, run_daemon
from .errors import (
    CarobspurError,
    ForbiddenError,
    NotReadyError,
    RequestError,
)
from .forward import Forwarder
from .health import health_routes
from .inventory import Inventory, Key, Role
from .metrics import REQUESTS
from .peers import (
    END_PROGRAM,
    RUN_CALL,
    RUN_SINGLE_CALL,
    SHOW_PROGRAM,
    START_PROGRAM,
    messages,
    peer_client,
)
from .problem import ProblemHandler, bearer_secret, problem_from
from .programs import call_id, program_id
from .settings import Settings
from .sse import Event, encode_event
from .view import ViewClient

MAX_KEY_LENGTH = 200
MAX_CALL_NUMBER = 1_000_000
STOP_LIMIT_S = 60.0
QUIET_S = 2.0

_logger = logging.getLogger(__name__)


class AddressDocument(msgspec.Struct, frozen=True):
    """Answer to a request for addresses; ``keep_s`` is how long to keep it."""

    addresses: list[AddressAnswer]
    keep_s: int


class StartBody(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Body of a request that starts a program."""

    agent: str
    parent: str = ""
    deadline_s: float = 0.0


class StartDocument(msgspec.Struct, frozen=True):
    """Answer to a request that starts a program."""

    program: str


class CallBody(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Body of a call."""

    endpoint: str
    input: msgspec.Raw
    stream: bool = False


class CallDocument(msgspec.Struct, frozen=True):
    """A call's answer.

    Attributes:
        program: Id of the program.
        number: Number of the call.
        call: Id of the call.
        digest: Digest of endpoint and input; lets a caller check that the answer
            is to its own request.
        output: The answer.
        durable: Whether the answer is committed.
        replayed: Whether the call had finished before.
        cost_units: What it cost.
    """

    program: str
    number: int
    call: str
    digest: str
    output: msgspec.Raw
    durable: bool
    replayed: bool
    cost_units: int


class Entry:
    """What the caller-facing handlers share.

    Args:
        settings: The instance's settings.
        view: Copy of control's view.
        forwarder: Sends requests to the schedulers that own programs.
    """

    def __init__(
        self, settings: Settings, view: ViewClient, forwarder: Forwarder
    ) -> None:
        self._settings = settings
        self._view = view
        self._forwarder = forwarder
        self._open_requests = 0
        self._idle = asyncio.Event()
        self._idle.set()
        self.is_leaving = False
        self.rotation = Rotation(random.Random(settings.instance.id))
        self._last_request_s = float("-inf")

    @property
    def usable_instances(self) -> list[Any]:
        """Instances to answer with; not this one once it is leaving."""
        own = self._settings.instance.id if self.is_leaving else ""
        return [item for item in self._view.instances if item.id != own]

    @property
    def view(self) -> ViewClient:
        """Copy of control's view."""
        return self._view

    @property
    def forwarder(self) -> Forwarder:
        """Sends requests to schedulers."""
        return self._forwarder

    @property
    def keep_addresses_s(self) -> int:
        """Seconds for which callers may keep an answer about addresses."""
        return self._settings.entry.keep_addresses_s

    @property
    def call_timeout_s(self) -> float:
        """Seconds a call may take."""
        return self._settings.entry.call_timeout_s

    @property
    def is_ready(self) -> bool:
        """Whether callers should use this instance."""
        return self._view.is_ready and not self.is_leaving

    def request_began(self) -> None:
        """Count a request that is under way."""
        self._open_requests += 1
        self._last_request_s = time.monotonic()
        self._idle.clear()

    def request_ended(self) -> None:
        """Count a request that ended."""
        self._open_requests -= 1
        if not self._open_requests:
            self._idle.set()

    async def finish_requests(self) -> None:
        """Serve on until callers have gone elsewhere, up to a limit.

        Callers keep addresses for a while, so new requests are served until none has
        come for a short time or until no caller can have a kept address any more.
        """
        started_s = time.monotonic()
        keep_s = self.keep_addresses_s + QUIET_S
        while time.monotonic() - started_s < keep_s:
            if time.monotonic() - max(self._last_request_s, started_s) > QUIET_S:
                break
            await asyncio.sleep(QUIET_S / 10)
        try:
            await asyncio.wait_for(self._idle.wait(), STOP_LIMIT_S)
        except TimeoutError:
            _logger.warning("%d requests were cut", self._open_requests)


class CallerHandler(ProblemHandler):
    """A handler that knows who is calling."""

    def initialize(self, entry: Entry) -> None:
        """Take what the handlers share."""
        self._entry = entry
        self._organisation = ""
        entry.request_began()

    def prepare(self) -> None:
        """Refuse what this instance can't serve."""
        if not self._entry.view.is_fresh:
            raise NotReadyError("this instance is not ready", retry_after_s=1.0)

    def require_current(self) -> None:
        """Refuse new programs while it is not known which inventory is in force."""
        if not self._entry.view.is_ready:
            raise NotReadyError("this instance is out of contact", retry_after_s=1.0)

    def on_finish(self) -> None:
        """Count the request."""
        self._entry.request_ended()
        outcome = "ok" if self.get_status() < 400 else str(self.get_status())
        kind = type(self).__name__.removesuffix("Handler").lower()
        REQUESTS.labels(self._organisation, kind, outcome).inc()

    def caller(self) -> Any:
        """Return who is calling, as a ``Caller`` message.

        Raises:
            UnauthenticatedError: The key is not known.
            ForbiddenError: The key is not a caller's, or speaks for another user.
            RequestError: No user is named.
        """
        inventory, key = self._key()
        named = self.request.headers.get("Carobspur-User", "")
        if key.user and named not in ("", key.user):
            raise ForbiddenError("this key speaks for another user")
        user = key.user or named
        if not user:
            raise RequestError("the header Carobspur-User is missing")
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
        if not 0 < len(key) <= MAX_KEY_LENGTH:
            raise RequestError(
                f"the header Idempotency-Key must have 1 to {MAX_KEY_LENGTH} letters"
            )
        return key

    def body(self, cls: type) -> Any:
        """Read the request's body.

        Raises:
            RequestError: It is not what is expected.
        """
        try:
            return msgspec.json.decode(self.request.body, type=cls)
        except (msgspec.MsgspecError, UnicodeDecodeError) as error:
            raise RequestError(f"the body is wrong: {error}") from error

    def send(self, content: Any, status: int = 200) -> None:
        """Answer with JSON."""
        self.set_status(status)
        self.set_header("Content-Type", "application/json")
        self.finish(msgspec.json.encode(content))

    def _key(self) -> tuple[Inventory, Key]:
        secret = bearer_secret(self.request.headers.get("Authorization", ""))
        inventory, key = self._entry.view.authenticate(secret)
        if key.role != Role.CALLER:
            raise ForbiddenError("this key is not a caller's")
        return inventory, key


class AddressesHandler(CallerHandler):
    """Answers which instances to use."""

    def get(self) -> None:
        """Answer."""
        self._key()
        view = self._entry.view
        program = self.get_query_argument("program", "")
        owner = view.owner_of(program) if program else None
        found = addresses(
            self._entry.usable_instances,
            owner_instance=None if owner is None else owner.instance,
            rotation=self._entry.rotation,
            data_centre=self.get_query_argument("data_centre", ""),
        )
        self.send(AddressDocument(found, self._entry.keep_addresses_s))


class ProgramsHandler(CallerHandler):
    """Starts programs."""

    async def post(self) -> None:
        """Start one; the same idempotency key always gives the same program."""
        self.require_current()
        caller = self.caller()
        body = self.body(StartBody)
        program = program_id(caller.organisation, caller.user, self.idempotency_key())
        request = messages.StartProgram(
            caller=caller,
            program=program,
            agent=body.agent,
            parent=body.parent,
            deadline_s=body.deadline_s,
        )
        result = await self._entry.forwarder.ask(program, START_PROGRAM, request)
        self.send(StartDocument(program), 201 if result.created else 200)


class ProgramHandler(CallerHandler):
    """Shows and ends programs."""

    async def get(self, program: str, history: str | None = None) -> None:
        """Show one."""
        request = messages.ShowProgram(
            caller=self.caller(), program=program, with_history=bool(history)
        )
        found = await self._entry.forwarder.ask(program, SHOW_PROGRAM, request)
        self.set_header("Content-Type", "application/json")
        self.finish(found.document)

    async def delete(self, program: str, history: str | None = None) -> None:
        """End one."""
        request = messages.EndProgram(
            caller=self.caller(), program=program, reason="ended by its caller"
        )
        await self._entry.forwarder.ask(program, END_PROGRAM, request)
        self.set_status(204)
        self.finish()


class CallHandler(CallerHandler):
    """Runs calls."""

    async def post(self, program: str, number: str) -> None:
        """Run a program's call."""
        body = self.body(CallBody)
        if not 1 <= int(number) <= MAX_CALL_NUMBER:
            raise RequestError(f"call numbers go from 1 to {MAX_CALL_NUMBER}")
        request = messages.RunCall(
            caller=self.caller(),
            program=program,
            number=int(number),
            endpoint=body.endpoint,
            input=bytes(body.input),
            stream=body.stream,
        )
        await self.run(program, RUN_CALL, request)

    async def run(self, program: str, method: Any, request: Any) -> None:
        """Forward a call and answer with JSON or a stream."""
        writer = _StreamWriter(self) if request.stream else None
        try:
            answer = await self._entry.forwarder.ask(
                program,
                method,
                request,
                on_part=writer.take_part if writer else None,
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
            self.send(document)
        else:
            writer.finish(document)


class SingleCallHandler(CallHandler):
    """Runs calls that belong to no program."""

    async def post(self) -> None:
        """Run one call."""
        self.require_current()
        body = self.body(CallBody)
        caller = self.caller()
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


class _StreamWriter:
    """Writes a call's answer as server-sent events.

    A reader that comes back names the last event it saw and gets what follows. Where
    another scheduler had to start the answer again, a ``restart`` event says so.
    """

    __slots__ = ("_handler", "_next", "_skip_to", "has_begun")

    def __init__(self, handler: CallerHandler) -> None:
        self._handler = handler
        self._next = 0
        self._skip_to = _last_event(handler)
        self.has_begun = False

    def take_part(self, part: Any) -> None:
        """Write one piece of the answer."""
        if part.index < self._next:
            self._write(Event("restart", b"{}"))
            self._skip_to = 0
        self._next = part.index + 1
        if part.index >= self._skip_to:
            data = msgspec.json.encode(part.text)
            self._write(Event("token", data, str(part.index + 1)))

    def finish(self, document: CallDocument) -> None:
        """Write the last event and end the stream."""
        self._write(Event("done", msgspec.json.encode(document)))
        self._handler.finish()

    def fail(self, error: CarobspurError) -> None:
        """Write an error as the last event and end the stream."""
        self._write(Event("problem", msgspec.json.encode(problem_from(error))))
        self._handler.finish()

    def _write(self, event: Event) -> None:
        if self._handler._finished:
            return
        if not self.has_begun:
            self.has_begun = True
            self._handler.set_header("Content-Type", "text/event-stream")
            self._handler.set_header("Cache-Control", "no-store")
        self._handler.write(encode_event(event))
        self._handler.flush()


def _last_event(handler: CallerHandler) -> int:
    text = handler.request.headers.get("Last-Event-ID", "0")
    return int(text) if text.isdecimal() else 0


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


async def serve(settings: Settings, stopping: asyncio.Event) -> None:
    """Run the entry process until it is told to stop."""
    clock = LoopClock()
    async with peer_client() as peers:
        view = ViewClient(
            peers,
            clock=clock,
            host=settings.instance.host,
            port=settings.control.peer_port,
            with_loads=False,
        )
        entry = Entry(settings, view, Forwarder(peers, view, clock))
        app = tornado.web.Application(
            [*health_routes(lambda: entry.is_ready), *caller_routes(entry)]
        )
        async with (
            background(view.run()),
            http_server(
                app,
                settings.instance.host,
                settings.entry.port,
                max_body_size=settings.entry.max_body_bytes,
            ),
        ):
            await stopping.wait()
            entry.is_leaving = True
            await entry.finish_requests()


def main() -> None:
    """Entry point of ``carobspur-entry``."""
    fire.Fire(lambda settings: run_daemon("entry", settings, serve))
