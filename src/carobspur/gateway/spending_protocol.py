"""Messages between gateways about token accounts, and how an owner answers them."""

from __future__ import annotations

import msgspec

from .accounts import ReleasedAccount
from .rows import RowStoreAwayError
from .spending import AccountOwner
from .spending_records import BudgetSpentError, MovedAccount

SPENDING_PATH = "/spending"


class ReserveRequest(msgspec.Struct, frozen=True, tag="reserve"):
    """Request to reserve tokens for a turn.

    Attributes:
        program: The program.
        turn: Name of the reservation.
        tokens: The most that the turn may generate.
        budget: Tokens that all turns of the program may generate.
        retention_s: How long after its last turn the program may return.
        replaced: Reservations of the same turn that were requested from owners that
            did not answer. They are cancelled first.
        is_passed_over: Whether a gateway that the sender would rather ask, and that it
            does not know to be dead, did not answer.
    """

    program: str
    turn: str
    tokens: int
    budget: int
    retention_s: float = msgspec.field(name="kept_s")
    replaced: list[str] = []
    is_passed_over: bool = False


class SettleRequest(msgspec.Struct, frozen=True, tag="settle"):
    """Report of the tokens that a turn generated; 0 if it did not run."""

    program: str
    turn: str
    tokens: int


class ReleaseRequest(msgspec.Struct, frozen=True, tag="hand_over"):
    """Request to release an account.

    Attributes:
        program: The program.
        row_version: Version of the row that names the owner.
        serial: The owner's serial in that row.
    """

    program: str
    row_version: int
    serial: int


class PullRequest(msgspec.Struct, frozen=True, tag="pull"):
    """Request to a likely former owner for an account with its allowance.

    Attributes:
        program: The program.
        may_hold_unrecorded: See :class:`.spending_records.StoreState`; of the sender.
    """

    program: str
    may_hold_unrecorded: bool = True


class PullConfirmation(msgspec.Struct, frozen=True, tag="pulled"):
    """Tells a former owner that the account that was pulled has arrived."""

    program: str


class PresenceRequest(msgspec.Struct, frozen=True, tag="presence"):
    """Probe of an owner that has not yet answered another request."""


class SpendingAnswer(msgspec.Struct, frozen=True):
    """An owner's answer.

    Attributes:
        outcome: ``granted``; ``spent`` (the turn does not fit the budget); ``away``
            (the store is unreachable); ``told`` (answers a release or a pull); or
            ``none`` (the account was not accepted, or the turn is not known).
        tokens: Tokens that the program's other turns have spent or reserved.
        given_up: Report on a released account.
        moved: The account that was pulled; only the receiver may use it from now on.
        reason: Why a reservation was not granted.
        may_have_granted: Whether the account was or is here although it is not moved.
    """

    outcome: str
    tokens: int = 0
    given_up: ReleasedAccount | None = None
    moved: MovedAccount | None = None
    reason: str = ""
    may_have_granted: bool = False


SpendingRequest = (
    ReserveRequest
    | SettleRequest
    | ReleaseRequest
    | PullRequest
    | PullConfirmation
    | PresenceRequest
    | MovedAccount
)


async def answer_spending(
    owner: AccountOwner, request: SpendingRequest
) -> SpendingAnswer:
    """Return an owner's answer to a request of a gateway."""
    match request:
        case ReserveRequest(program, turn, tokens, budget, retention_s):
            for former in request.replaced:
                owner.settle(program, former, 0)
            try:
                other_tokens = await owner.reserve(
                    program,
                    turn,
                    tokens,
                    budget,
                    retention_s=retention_s,
                    is_passed_over=request.is_passed_over,
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
        case PullRequest(program, may_hold_unrecorded):
            moved = await owner.move_out(
                program, may_hold_unrecorded=may_hold_unrecorded
            )
            may_have_granted = moved is None and owner.may_have_granted(program)
            return SpendingAnswer(
                "told", moved=moved, may_have_granted=may_have_granted
            )
        case PullConfirmation(program):
            owner.confirm_pull(program)
            return SpendingAnswer("granted")
        case PresenceRequest():
            return SpendingAnswer("granted")
        case MovedAccount():
            return SpendingAnswer("granted" if owner.take_over(request) else "none")
