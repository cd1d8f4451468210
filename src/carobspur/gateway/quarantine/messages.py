"""Datagrams by which gateways tell each other about crashes."""

from __future__ import annotations

from collections.abc import Mapping
from typing import Annotated

import msgspec

from .crash_history import MAX_SUSPECTS, Progress
from .request_identity import RequestIdentity

_Hash = Annotated[int, msgspec.Meta(ge=0, lt=2**32)]
_Digest = Annotated[int, msgspec.Meta(ge=0)]


class LostRequest(msgspec.Struct, frozen=True, array_like=True):
    """A request that was lost in a crash.

    Attributes:
        request: Its digest.
        target: Digest of its target.
        progress: How far it had come.
    """

    request: _Digest
    target: _Digest
    progress: Progress

    @property
    def identity(self) -> RequestIdentity:
        """Identity of the request."""
        return RequestIdentity(self.request, self.target)


_Requests = Annotated[list[LostRequest], msgspec.Meta(max_length=MAX_SUSPECTS)]
_Name = Annotated[str, msgspec.Meta(max_length=300)]


class CrashReport(msgspec.Struct, frozen=True, array_like=True, tag=5):
    """The requests that one gateway had at an endpoint when that crashed.

    Attributes:
        reporter: Name of the gateway's process.
        endpoint: Hash of the endpoint's key.
        service: Hash of its service.
        age_ms: Time since the gateway learned of the crash.
        requests: Its requests there.
    """

    reporter: _Name
    endpoint: _Hash
    service: _Hash
    age_ms: Annotated[int, msgspec.Meta(ge=0, le=10**7)]
    requests: _Requests

    @classmethod
    def create(
        cls,
        reporter: str,
        endpoint: int,
        service: int,
        requests: Mapping[RequestIdentity, Progress],
        *,
        age_ms: int = 0,
    ) -> CrashReport:
        """Return the report of a gateway on a crash."""
        lost = [
            LostRequest(request.request, request.target, progress)
            for request, progress in requests.items()
        ]
        return cls(reporter, endpoint, service, age_ms, lost)

    @property
    def progress(self) -> dict[RequestIdentity, Progress]:
        """Progress of the requests."""
        return {item.identity: item.progress for item in self.requests}


class AnsweredTargets(msgspec.Struct, frozen=True, array_like=True, tag=7):
    """Targets of lost requests for which other requests are answered.

    A gateway that has sent no request to such a target, as one that has just started,
    would otherwise take all requests for it for those that crash endpoints.

    Attributes:
        reporter: Name of the gateway's process.
        targets: Digests of the targets.
    """

    reporter: _Name
    targets: Annotated[list[_Digest], msgspec.Meta(max_length=MAX_SUSPECTS)]


class Acquittal(msgspec.Struct, frozen=True, array_like=True, tag=6):
    """A suspected request that was answered completely.

    Attributes:
        reporter: Name of the gateway's process.
        request: Digest of the request.
        target: Digest of its target.
    """

    reporter: _Name
    request: _Digest
    target: _Digest

    @property
    def identity(self) -> RequestIdentity:
        """Identity of the request."""
        return RequestIdentity(self.request, self.target)


CrashMessage = CrashReport | AnsweredTargets | Acquittal
"""What gateways send each other about crashes."""
