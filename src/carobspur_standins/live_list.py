"""Stand-in for the platform's list of running instances, which may be out of date."""

from __future__ import annotations

import msgspec

from carobspur.http import HttpResponse
from carobspur.membership import ListedInstance

from .app import Emit, Request, json_response


class MemoryLiveList:
    """List of instances that tests set; a :class:`carobspur.membership.LiveList`.

    Attributes:
        listed: The instances that the list shows.
    """

    def __init__(self) -> None:
        self.listed: list[ListedInstance] = []

    async def instances(self) -> list[ListedInstance]:
        """Return a copy of the list."""
        return list(self.listed)

    async def handle(self, request: Request, emit: Emit) -> HttpResponse:
        """Answer over HTTP with the list; ``PUT`` replaces it first."""
        if request.method == "PUT":
            self.listed = msgspec.json.decode(request.body, type=list[ListedInstance])
        return json_response(self.listed)
