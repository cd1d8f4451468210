"""A whole deployment in one process, for tests under virtual time.

The parts of the daemons are the real ones; platform and endpoints are stand-ins. HTTP
and peer calls are delivered inside the process.
"""

from __future__ import annotations

import asyncio
import json
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

import msgspec
import tornado.web
from tornado.httputil import (
    HTTPHeaders,
    HTTPServerRequest,
    RequestStartLine,
    ResponseStartLine,
)

from carobspur.callers import caller_routes
from carobspur.clock import LoopClock
from carobspur.control_parts import Control
from carobspur.control_peers import ControlPeers
from carobspur.entry_parts import Entry
from carobspur.errors import PeerDisconnectedError, PeerUnreachableError
from carobspur.forward import Forwarder, takeover_limit_s
from carobspur.http import HttpError, HttpRequest, HttpResponse
from carobspur.inventory import Inventory
from carobspur.membership import HttpLiveList
from carobspur.objects import HttpObjects
from carobspur.operator_actions import operator_routes
from carobspur.peer_server import PeerServer
from carobspur.peers import Method, decode, encode
from carobspur.plugin_registry import load_plugins
from carobspur.problem import NoSuchPathHandler
from carobspur.scheduler_parts import Scheduler
from carobspur.scheduler_peers import SchedulerPeerMethods
from carobspur.settings import Settings
from carobspur.sse import EventParser
from carobspur.table import HttpTable
from carobspur.view import ViewClient
from carobspur_standins.app import InProcessClient
from carobspur_standins.engine import ModelEngine
from carobspur_standins.live_list import MemoryLiveList
from carobspur_standins.objects import MemoryObjects
from carobspur_standins.table import MemoryTable
from carobspur_standins.tool import ToolService

from . import builders
from .virtual import WALL_START_S

load_plugins()

# Called with each request of an instance and its response, None where there was none.
ExchangeObserver = Callable[[HttpRequest, HttpResponse | None], None]


class DirectPeers:
    """Peer client of all instances: delivers calls to servers in the process.

    Attributes:
        servers: Servers by host and port.
        gates: Gates of the servers whose calls can be blocked.
        cut: Addresses to which new calls fail.
    """

    def __init__(self) -> None:
        self.servers: dict[tuple[str, int], PeerServer] = {}
        self.gates: dict[tuple[str, int], Gate] = {}
        self.cut: set[tuple[str, int]] = set()
        self._running: dict[tuple[str, int], set[asyncio.Task[Any]]] = {}

    async def call(
        self,
        host: str,
        port: int,
        method: Method,
        request: Any,
        *,
        on_part: Any = None,
        timeout_s: float = 5.0,
    ) -> Any:
        """Call a peer as :class:`carobspur.peer_client.PeerClient` does.

        Raises:
            PeerUnreachableError: If there is no such server or it is cut off.
            PeerDisconnectedError: If there is no answer in time or the peer is killed.
        """
        address = (host, port)
        server = self.servers.get(address)
        if server is None or address in self.cut:
            raise PeerUnreachableError(f"{host}:{port} is not reachable")

        def _emit(part: Any) -> None:
            if on_part is not None:
                on_part(decode(method.part, encode(part)))

        serving = self._serve(address, server, method, request, _emit)
        task = asyncio.ensure_future(serving)
        self._running.setdefault(address, set()).add(task)
        try:
            result = await asyncio.wait_for(task, timeout_s)
        except TimeoutError as error:
            raise PeerDisconnectedError(f"no answer within {timeout_s} s") from error
        except asyncio.CancelledError:
            if address in self.servers:
                raise
            raise PeerDisconnectedError("the peer died") from None
        finally:
            self._running[address].discard(task)
        return decode(method.result, encode(result))

    async def _serve(
        self,
        address: tuple[str, int],
        server: PeerServer,
        method: Method,
        request: Any,
        emit: Any,
    ) -> Any:
        gate = self.gates.get(address)
        if gate is not None:
            await gate.wait_open()
        result = await server.dispatch(method.name, encode(request), emit)
        if gate is not None:
            await gate.wait_open()
        return result

    def kill(self, address: tuple[str, int]) -> None:
        """Remove a server: calls under way lose their connection."""
        self.servers.pop(address, None)
        for task in self._running.get(address, set()):
            task.cancel()


class Gate:
    """Blocks all requests and answers of an instance while it is frozen."""

    def __init__(self) -> None:
        self._open = asyncio.Event()
        self._open.set()

    @property
    def is_frozen(self) -> bool:
        """Whether requests and answers are blocked."""
        return not self._open.is_set()

    def freeze(self) -> None:
        """Block requests and answers from now on."""
        self._open.clear()

    def thaw(self) -> None:
        """Deliver blocked and later requests and answers."""
        self._open.set()

    async def wait_open(self) -> None:
        """Wait until the instance is not frozen."""
        await self._open.wait()


class NodeClient:
    """HTTP client of one instance that can be frozen and reports its requests.

    While its gate is closed, requests are not sent and answers are not delivered.

    Args:
        inner: Client that reaches the stand-ins.
        gate: Gate of the instance.
        note: Called with each request that was sent and its response.
    """

    def __init__(
        self, inner: InProcessClient, gate: Gate, note: ExchangeObserver
    ) -> None:
        self._inner = inner
        self._gate = gate
        self._note = note

    async def fetch(self, request: HttpRequest) -> HttpResponse:
        """Send a request once the gate is open; deliver the answer likewise."""
        await self._gate.wait_open()
        try:
            response = await self._inner.fetch(request)
        except HttpError as error:
            self._note(request, None)
            await self._gate.wait_open()
            raise error
        self._note(request, response)
        await self._gate.wait_open()
        return response


@dataclass
class Node:
    """The parts of an instance's three daemons.

    Attributes:
        settings: Its settings.
        control: Control daemon.
        scheduler: Scheduler daemon.
        entry: Entry daemon.
        app: HTTP application of the entry daemon, for callers.
        operators: HTTP application of the control daemon, for operators.
        gate: Gate by which the instance is frozen.
        tasks: Tasks of all daemons.
    """

    settings: Settings
    control: Control
    scheduler: Scheduler
    entry: Entry
    app: tornado.web.Application
    operators: tornado.web.Application
    gate: Gate
    tasks: list[asyncio.Task[Any]] = field(default_factory=list)


@dataclass
class Reply:
    """Answer to a caller or operator."""

    status: int
    headers: dict[str, str]
    body: bytes

    @property
    def json(self) -> Any:
        """The decoded JSON body, ``None`` for an empty one."""
        return json.loads(self.body) if self.body else None

    @property
    def events(self) -> list[Any]:
        """The server-sent events of the body."""
        return EventParser().feed(self.body)


class World:
    """A deployment: stand-ins of platform and endpoints, and instances.

    Args:
        inventory: Inventory to import; that of the builders by default.
        shards: Number of shards.
        lease_s: Lease time in seconds of the schedulers' sessions.
        tool_delay_s: Duration of an execution of the tool.
        note: Called with each HTTP request of an instance and its response.
        engines: Engines by base URL; two by default, the first checks fencing numbers.
        scheduler_options: Further lines of the settings' section ``[scheduler]``.

    Attributes:
        tool: Stand-in of the service that may not be repeated.
        plain: Stand-in of the service that may.
        client: Client that reaches all stand-ins; gives access to their faults.
        peers: Peer client of all instances.
        nodes: Running instances by number.
    """

    def __init__(
        self,
        inventory: Inventory | None = None,
        *,
        shards: int = 8,
        lease_s: float = builders.LEASE_S,
        tool_delay_s: float = 0.0,
        note: ExchangeObserver = lambda request, response: None,
        engines: dict[str, ModelEngine] | None = None,
        scheduler_options: str = "",
    ) -> None:
        self._note = note
        self._scheduler_options = scheduler_options
        self.inventory = inventory or builders.an_inventory()
        self._shards = shards
        self._lease_s = lease_s
        self.table = MemoryTable()
        self.objects = MemoryObjects()
        self.live_list = MemoryLiveList()
        self.engines = engines or {
            url: ModelEngine(checks_fencing=number == 0)
            for number, url in enumerate(builders.ENGINE_URLS)
        }
        tool = next(item for item in self.inventory.services if not item.repeatable)
        self.tool = ToolService(
            checks_fencing=tool.checks_fencing, delay_s=tool_delay_s
        )
        self.plain = ToolService()
        self.client = InProcessClient(
            {
                builders.TABLE_URL: self.table,
                builders.OBJECTS_URL: self.objects,
                builders.LIVE_LIST_URL: self.live_list,
                builders.TOOL_URL: self.tool,
                builders.PLAIN_URL: self.plain,
                **self.engines,
            }
        )
        self.peers = DirectPeers()
        self.clock = LoopClock(wall_start_s=WALL_START_S)
        self.nodes: dict[int, Node] = {}

    async def start(self, instances: int = 1) -> World:
        """Start instances 1 to ``instances``, import the inventory, wait till ready."""
        for number in range(1, instances + 1):
            await self.add_node(number)
        reply = await self.import_inventory(self.inventory, revision=0, change="c1")
        assert reply.status == 200, reply.body
        await self.until(self.is_settled)
        return self

    async def add_node(self, number: int) -> Node:
        """Start one instance, for the first time or again after :meth:`kill`."""
        settings = builders.some_settings(
            number,
            shards=self._shards,
            lease_s=self._lease_s,
            scheduler_options=self._scheduler_options,
        )
        gate = Gate()
        client = NodeClient(self.client, gate, self._note)
        table = HttpTable(client, builders.TABLE_URL)
        objects = HttpObjects(client, builders.OBJECTS_URL)
        host = settings.instance.host
        control = Control(
            settings=settings,
            clock=self.clock,
            table=table,
            live_list=HttpLiveList(client, builders.LIVE_LIST_URL),
            client=client,
            peers=self.peers,
        )
        control_server = PeerServer()
        ControlPeers(control).register(control_server)
        self.peers.servers[(host, settings.control.peer_port)] = control_server
        view = self._view(settings)
        scheduler = Scheduler(
            settings=settings,
            clock=self.clock,
            table=table,
            objects=objects,
            client=client,
            view=view,
            peers=self.peers,
        )
        server = PeerServer()
        SchedulerPeerMethods(scheduler).register(server)
        self.peers.servers[(host, settings.scheduler.port)] = server
        self.peers.gates[(host, settings.scheduler.port)] = gate
        entry_view = self._view(settings)
        entry = Entry(settings, entry_view, self._forwarder(settings, entry_view))
        node = Node(
            settings,
            control,
            scheduler,
            entry,
            _application(caller_routes(entry)),
            _application(
                operator_routes(
                    control,
                    self.peers,
                    platform_key_sha256=settings.control.platform_key_sha256,
                )
            ),
            gate,
        )
        self.nodes[number] = node
        view.on_change = scheduler.apply_view
        await scheduler.open(settings.scheduler.port)
        loops = [
            control.run(),
            control.run_gossip(),
            control.run_load(),
            view.run(),
            entry_view.run(),
        ]
        loops += [scheduler.shard_manager.run(), scheduler.run()]
        node.tasks = [asyncio.ensure_future(item) for item in loops]
        return node

    def is_settled(self) -> bool:
        """Return whether all shards are owned and all entry daemons know the owners.

        Owners are probed with fifty program ids.
        """
        live = [node.scheduler for node in self.nodes.values()]
        owned = sum(len(item.shard_manager.owned) for item in live)
        ready = all(node.entry.is_ready for node in self.nodes.values())
        known = all(
            node.entry.view.revision >= 1
            and all(
                node.entry.view.owner_of(f"p{probe}") is not None for probe in range(50)
            )
            for node in self.nodes.values()
        )
        return owned == self._shards and ready and known

    async def until(self, is_true: Any, *, limit_s: float = 120.0) -> float:
        """Wait until a condition holds; return the seconds that it took.

        Fails the test after ``limit_s``.
        """
        start_s = self.clock.monotonic()
        while not is_true():
            waited_s = self.clock.monotonic() - start_s
            assert waited_s < limit_s, "condition not met within the time limit"
            await asyncio.sleep(0.05)
        return self.clock.monotonic() - start_s

    def kill(self, number: int) -> Node:
        """Kill all daemons of an instance; its session and shards stay in the table."""
        node = self.nodes.pop(number)
        host = node.settings.instance.host
        for task in node.tasks:
            task.cancel()
        if node.scheduler.session is not None:
            node.scheduler.session._task.cancel()
        for port in (node.settings.scheduler.port, node.settings.control.peer_port):
            self.peers.kill((host, port))
        return node

    def owner_of(self, program: str) -> int:
        """Return the number of the instance that owns a program's shard."""
        for number, node in self.nodes.items():
            if node.scheduler.shard_manager.owns(program):
                return number
        raise AssertionError(f"no instance owns the shard of program {program}")

    async def ask(
        self,
        method: str,
        path: str,
        body: Any = None,
        *,
        node: int | None = None,
        user: str = "clerk-1",
        secret: str = builders.CALLER_SECRET,
        headers: dict[str, str] | None = None,
    ) -> Reply:
        """Send a caller's request to the entry daemon of an instance.

        Args:
            method: HTTP method.
            path: Path with query.
            body: Content of the JSON body; ``None`` for no body.
            node: Number of the instance; the lowest running one by default.
            user: User of the caller.
            secret: Secret of the caller's key.
            headers: Further header fields.
        """
        number = node or min(self.nodes)
        sent = {"Authorization": f"Bearer {secret}", "Carobspur-User": user}
        return await _serve(
            self.nodes[number].app, method, path, body, {**sent, **(headers or {})}
        )

    async def start_program(self, key: str, **options: Any) -> str:
        """Start a program of the agent ``quote`` and return its id.

        Args:
            key: Idempotency key.
            options: Options of :meth:`ask`.
        """
        reply = await self.ask(
            "POST",
            "/v1/programs",
            {"agent": "quote"},
            headers={"Idempotency-Key": key},
            **options,
        )
        assert reply.status in (200, 201), reply.body
        return reply.json["program"]

    async def call(
        self, program: str, number: int, endpoint: str, content: Any, **options: Any
    ) -> Reply:
        """Run a call of a program; ``options`` as for :meth:`ask`."""
        body = {"endpoint": endpoint, "input": content}
        path = f"/v1/programs/{program}/calls/{number}"
        return await self.ask("POST", path, body, **options)

    async def import_inventory(
        self,
        inventory: Inventory,
        *,
        revision: int,
        change: str,
        node: int | None = None,
        secret: str = "",
    ) -> Reply:
        """Import an inventory through the control daemon of an instance.

        Args:
            inventory: The inventory.
            revision: Revision that it replaces; 0 for the first import.
            change: Id of the change.
            node: Number of the instance; the lowest running one by default.
            secret: Secret of the key. Without one, the platform's key is used for the
                first import and the organisation's operator key for later ones.
        """
        number = node or min(self.nodes)
        usual = builders.OPERATOR_SECRET if revision else builders.PLATFORM_SECRET
        secret = secret or usual
        headers = {
            "Authorization": f"Bearer {secret}",
            "If-Match": f'"{revision}"',
            "Carobspur-Change": change,
        }
        path = f"/v1/organisations/{inventory.organisation}/inventory"
        body = msgspec.to_builtins(inventory)
        return await _serve(self.nodes[number].operators, "PUT", path, body, headers)

    async def operate(
        self,
        method: str,
        path: str,
        body: Any = None,
        *,
        node: int | None = None,
        secret: str = builders.OPERATOR_SECRET,
        headers: dict[str, str] | None = None,
    ) -> Reply:
        """Send an operator's request to a control daemon; arguments as :meth:`ask`."""
        app = self.nodes[node or min(self.nodes)].operators
        sent = {"Authorization": f"Bearer {secret}", **(headers or {})}
        return await _serve(app, method, path, body, sent)

    def _forwarder(self, settings: Settings, view: ViewClient) -> Forwarder:
        limit_s = takeover_limit_s(settings.scheduler.lease_s)
        return Forwarder(self.peers, view, self.clock, limit_s=limit_s)

    def _view(self, settings: Settings) -> ViewClient:
        return ViewClient(
            self.peers,
            clock=self.clock,
            host=settings.instance.host,
            port=settings.control.peer_port,
        )


class _Connection:
    """Stands in for tornado's connection to a caller and collects the answer."""

    def __init__(self) -> None:
        self.status = 0
        self.headers: dict[str, str] = {}
        self.body = b""
        self.done: asyncio.Future[None] = asyncio.get_event_loop().create_future()
        self.no_keep_alive = True
        self.context = None

    def set_close_callback(self, callback: Any) -> None:
        """Ignore the callback: this connection never closes early."""

    def write_headers(
        self, start_line: ResponseStartLine, headers: HTTPHeaders, chunk: bytes = b""
    ) -> asyncio.Future[None]:
        """Store status and headers, and the first chunk of the body."""
        self.status = start_line.code
        self.headers = dict(headers.get_all())
        return self.write(chunk)

    def write(self, chunk: bytes) -> asyncio.Future[None]:
        """Store a chunk of the body."""
        self.body += chunk or b""
        future = asyncio.get_event_loop().create_future()
        future.set_result(None)
        return future

    def finish(self) -> None:
        """Mark the answer as complete."""
        if not self.done.done():
            self.done.set_result(None)


def _application(routes: list[Any]) -> tornado.web.Application:
    return tornado.web.Application(routes, default_handler_class=NoSuchPathHandler)


async def _serve(
    app: tornado.web.Application,
    method: str,
    path: str,
    body: Any,
    headers: dict[str, str],
) -> Reply:
    connection = _Connection()
    content = b"" if body is None else msgspec.json.encode(body)
    request = HTTPServerRequest(
        method,
        path,
        headers=HTTPHeaders({"Host": "10.0.0.9", **headers}),
        body=content,
        connection=connection,
        start_line=RequestStartLine(method, path, "HTTP/1.1"),
    )
    app.find_handler(request).execute()
    await connection.done
    return Reply(connection.status, connection.headers, connection.body)
