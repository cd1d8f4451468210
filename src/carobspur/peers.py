"""Protocol between processes of the system: thrift structs in frames over TCP.

One connection multiplexes many calls. A call has one request, any number of parts,
and one result or failure; either side may end it early.
"""

from __future__ import annotations

import struct
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from importlib.resources import as_file, files
from typing import Any
from zlib import crc32

import thriftpy2
from thriftpy2.protocol.cybin import TCyBinaryProtocolFactory
from thriftpy2.thrift import TType
from thriftpy2.transport.memory.cymemory import TCyMemoryBuffer
from tornado.iostream import IOStream

from .errors import (
    CarobspurError,
    RequestError,
    error_from_cause,
)
from .verdict import verdict_from_name, verdict_name

with as_file(files(__package__) / "peers.thrift") as _path:
    messages: Any = thriftpy2.load(str(_path), module_name="carobspur_peers_thrift")

MAX_FRAME_BYTES = 64 * 1024 * 1024

_HEADER = struct.Struct(">II")
_PROTOCOL = TCyBinaryProtocolFactory()

Emit = Callable[[Any], None]
Handler = Callable[[Any, Emit], Awaitable[Any]]


@dataclass(frozen=True, slots=True)
class Method:
    """A remote method that one process offers to others.

    Attributes:
        name: Name of the method on the wire.
        request: Thrift class of the request.
        result: Thrift class of the result.
        part: Thrift class of streamed parts, or ``None`` if the method has none.
    """

    name: str
    request: type
    result: type
    part: type | None = None


START_PROGRAM = Method("start_program", messages.StartProgram, messages.ProgramStarted)
RUN_CALL = Method("run_call", messages.RunCall, messages.CallAnswer, messages.CallPart)
RUN_SINGLE_CALL = Method(
    "run_single_call", messages.RunSingleCall, messages.CallAnswer, messages.CallPart
)
SHOW_PROGRAM = Method("show_program", messages.ShowProgram, messages.ProgramDocument)
END_PROGRAM = Method("end_program", messages.EndProgram, messages.Empty)
ADOPT_CHILD = Method("adopt_child", messages.AdoptChild, messages.Empty)
END_CHILD = Method("end_child", messages.EndChild, messages.Empty)
DRAIN = Method("drain", messages.Drain, messages.Empty)
GET_STATUS = Method("get_status", messages.GetStatus, messages.SchedulerStatus)
GET_VIEW = Method("get_view", messages.GetView, messages.View)
GOSSIP = Method("gossip", messages.Gossip, messages.Gossip)
SWEEP_CACHE = Method("sweep_cache", messages.SweepCache, messages.CacheSwept)
RECONCILE = Method("reconcile", messages.Reconcile, messages.Reconciled)


def encode(message: Any) -> bytes:
    """Serialise a thrift message."""
    buffer = TCyMemoryBuffer()
    protocol = _PROTOCOL.get_protocol(buffer)
    protocol.write_struct(message)
    buffer.flush()
    return buffer.getvalue()


def decode(cls: type, content: bytes) -> Any:
    """Deserialise a thrift message and check its required fields.

    Args:
        cls: Thrift class of the message.
        content: Bytes from :func:`encode`.

    Raises:
        RequestError: The bytes are not a message of this class.
    """
    try:
        message = _PROTOCOL.get_protocol(TCyMemoryBuffer(content)).read_struct(cls())
    except Exception as error:
        raise RequestError(f"not a {cls.__name__} message: {error!r}") from error
    _require_fields(message)
    return message


def _require_fields(message: Any) -> None:
    for field in message.thrift_spec.values():
        name, required = field[1], field[-1]
        value = getattr(message, name)
        if required and value is None:
            raise RequestError(f"{type(message).__name__} lacks its field {name}")
        if field[0] == TType.STRUCT and value is not None:
            _require_fields(value)


def failure_message(error: CarobspurError) -> Any:
    """Return the message that reports an error to a peer."""
    return messages.Failure(
        cause=error.cause,
        verdict=verdict_name(error.verdict),
        message=error.message,
        retry_after_s=error.retry_after_s,
        detail=error.detail,
        proven=error.covers_all_sends,
    )


def error_from_failure(failure: Any) -> CarobspurError:
    """Return the error that a peer reported."""
    return error_from_cause(
        failure.cause,
        failure.message,
        verdict=verdict_from_name(failure.verdict),
        retry_after_s=failure.retry_after_s,
        detail=failure.detail or "",
        covers_all_sends=bool(failure.proven),
    )


async def read_frame(stream: IOStream) -> Any:
    """Read one frame: content length, CRC-32 of the content, content.

    The checksum keeps damaged frames and foreign protocols away from the thrift
    decoder, which would iterate over containers of any size that they claim to have.

    Raises:
        RequestError: The frame is too long or damaged, or the data is not a frame.
        StreamClosedError: The connection closed.
    """
    length, checksum = _HEADER.unpack(await stream.read_bytes(_HEADER.size))
    if length > MAX_FRAME_BYTES:
        raise RequestError(f"frame of {length} bytes exceeds {MAX_FRAME_BYTES} bytes")
    content = await stream.read_bytes(length)
    if crc32(content) != checksum:
        raise RequestError("frame checksum mismatch: damaged frame or other protocol")
    return decode(messages.Frame, content)


def write_frame(stream: IOStream, frame: Any) -> None:
    """Queue one frame for sending; does not wait."""
    content = encode(frame)
    stream.write(_HEADER.pack(len(content), crc32(content)) + content)
