"""What gateways ask each other about token accounts, and how a home answers."""

from __future__ import annotations

import msgspec

from .accounts import ReleasedAccount
from .rows import RowStoreAwayError
from .spending import AccountOwner
from .spending_records import BudgetSpentError, MovedAccount

SPENDING_PATH = "/spending"


class ReserveRequest(msgspec.Struct, frozen=True, tag="reserve"):
    """Asks a home to set tokens aside."""

    program: str
    turn: str
    tokens: int
    budget: int
    retention_s: float = msgspec.field(name="kept_s")


class SettleRequest(msgspec.Struct, frozen=True, tag="settle"):
    """Tells a home what a turn generated; nothing, if it did not run after all."""

    program: str
    turn: str
    tokens: int


class ReleaseRequest(msgspec.Struct, frozen=True, tag="hand_over"):
    """Asks a home to give an account up."""

    program: str
    row_version: int
    serial: int


class PullRequest(msgspec.Struct, frozen=True, tag="pull"):
    """Asks a former home for an account, to go on with its cover."""

    program: str


class PresenceRequest(msgspec.Struct, frozen=True, tag="presence"):
    """Asks whether a home lives while another answer of it is awaited."""


class SpendingAnswer(msgspec.Struct, frozen=True):
    """A home's answer.

    Attributes:
        outcome: ``granted``, ``spent``, ``away``, ``told`` of an account given up, or
            ``none`` where an account was not taken or a turn is not known.
        tokens: What other turns hold.
        given_up: What is told of an account that was given up.
        moved: An account that was asked for; only the asker may use it from now on.
        reason: Why it was not granted.
    """

    outcome: str
    tokens: int = 0
    given_up: ReleasedAccount | None = None
    moved: MovedAccount | None = None
    reason: str = ""


SpendingRequest = (
    ReserveRequest
    | SettleRequest
    | ReleaseRequest
    | PullRequest
    | PresenceRequest
    | MovedAccount
)


async def answer_spending(
    owner: AccountOwner, request: SpendingRequest
) -> SpendingAnswer:
    """Return a home's answer to a request of another gateway."""
    match request:
        case ReserveRequest(program, turn, tokens, budget, retention_s):
            try:
                other_tokens = await owner.reserve(
                    program, turn, tokens, budget, retention_s=retention_s
                )
            except BudgetSpentError as error:
                return SpendingAnswer("spent", reason=error.message)
            except RowStoreAwayError as error:
                return SpendingAnswer("away", reason=error.message)
            return SpendingAnswer("granted", other_tokens)
        case SettleRequest(program, turn, tokens):
            is_known = owner.settle(program, turn, tokens)
            return SpendingAnswer("granted" if is_known else "none")
        case ReleaseRequest(program, row_version, serial):
            released = await owner.release(program, row_version, serial)
            return SpendingAnswer("told", given_up=released)
        case PullRequest(program):
            return SpendingAnswer("told", moved=await owner.move_out(program))
        case PresenceRequest():
            return SpendingAnswer("granted")
        case MovedAccount():
            return SpendingAnswer("granted" if owner.take_over(request) else "none")
