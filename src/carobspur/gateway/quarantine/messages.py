"""Datagrams by which gateways tell each other about crashes."""

from __future__ import annotations

from typing import Annotated

import msgspec

from .crash_history import MAX_SUSPECTS, Progress

_Hash = Annotated[int, msgspec.Meta(ge=0, lt=2**32)]
_Requests = Annotated[
    dict[Annotated[int, msgspec.Meta(ge=0)], Progress],
    msgspec.Meta(max_length=MAX_SUSPECTS),
]
_Name = Annotated[str, msgspec.Meta(max_length=300)]


class CrashReport(msgspec.Struct, frozen=True, array_like=True, tag=5):
    """The requests that one gateway had at an endpoint when that crashed.

    Attributes:
        reporter: Name of the gateway's process.
        endpoint: Hash of the endpoint's key.
        service: Hash of its service.
        age_ms: Time since the gateway learned of the crash.
        requests: Digests of its requests there, with their progress.
    """

    reporter: _Name
    endpoint: _Hash
    service: _Hash
    age_ms: Annotated[int, msgspec.Meta(ge=0, le=10**7)]
    requests: _Requests


class Acquittal(msgspec.Struct, frozen=True, array_like=True, tag=6):
    """A suspected request that was answered completely.

    Attributes:
        reporter: Name of the gateway's process.
        request: Digest of the request.
    """

    reporter: _Name
    request: Annotated[int, msgspec.Meta(ge=0)]
