"""Stand-in for the platform's lagging list of instances."""

from __future__ import annotations

import msgspec

from carobspur.http import HttpResponse
from carobspur.membership import ListedInstance

from .app import Emit, Request, json_response


class MemoryLiveList:
    """The list, as tests set it; a :class:`carobspur.membership.LiveList` itself."""

    def __init__(self) -> None:
        self.listed: list[ListedInstance] = []

    async def instances(self) -> list[ListedInstance]:
        """Return the list."""
        return list(self.listed)

    async def handle(self, request: Request, emit: Emit) -> HttpResponse:
        """Answer over HTTP; ``PUT`` replaces the list."""
        if request.method == "PUT":
            self.listed = msgspec.json.decode(request.body, type=list[ListedInstance])
        return json_response(self.listed)
