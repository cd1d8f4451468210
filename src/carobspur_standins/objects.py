"""Stand-in for the platform's object store, in memory."""

from __future__ import annotations

from urllib.parse import unquote

from carobspur.http import HttpResponse

from .app import Emit, Request

OBJECTS_PATH = "/v1/objects/"


class MemoryObjects:
    """Object store in memory; implements :class:`carobspur.objects.Objects`.

    Attributes:
        puts: Number of writes.
        gets: Number of reads, also of objects that do not exist.
    """

    def __init__(self) -> None:
        self._objects: dict[str, bytes] = {}
        self.puts = 0
        self.gets = 0

    @property
    def keys(self) -> list[str]:
        """Keys of all objects, sorted."""
        return sorted(self._objects)

    async def put(self, key: str, content: bytes) -> None:
        """Store an object; replaces one of the same key."""
        self.puts += 1
        self._objects[key] = content

    async def get(self, key: str) -> bytes | None:
        """Return an object, or ``None`` where it does not exist."""
        self.gets += 1
        return self._objects.get(key)

    async def delete(self, key: str) -> None:
        """Delete an object if it exists."""
        self._objects.pop(key, None)

    async def handle(self, request: Request, emit: Emit) -> HttpResponse:
        """Answer the requests of :class:`carobspur.objects.HttpObjects`."""
        key = unquote(request.path.removeprefix(OBJECTS_PATH))
        match request.method:
            case "PUT":
                await self.put(key, request.body)
                return HttpResponse(204, b"")
            case "DELETE":
                await self.delete(key)
                return HttpResponse(204, b"")
            case _:
                content = await self.get(key)
                if content is None:
                    return HttpResponse(404, b"")
                return HttpResponse(200, content)
