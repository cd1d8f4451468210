"""Stored and transmitted forms of token accounts."""

from __future__ import annotations

from dataclasses import dataclass

import msgspec

from ..errors import CarobspurError
from ..verdict import NOT_RUN
from .accounts import Account


class BudgetSpentError(CarobspurError):
    """The turn does not fit into the program's token budget."""

    cause = "token_budget_spent"
    status = 402
    default_verdict = NOT_RUN


class OwnerSilentError(CarobspurError):
    """A gateway that may own an account did not answer."""

    cause = "owner_silent"
    status = 503
    default_verdict = NOT_RUN


class SpendingRow(msgspec.Struct, frozen=True, array_like=True):
    """Content of a program's row in the store.

    Attributes:
        tokens: Tokens that count as spent: the owner's allowance.
        holder: Name of the owner; empty if the account has none.
        serial: The owner's number of this write, by which it recognises the row.
        expires_at: Unix time in seconds after which the row may be removed.
    """

    tokens: int
    holder: str
    serial: int
    expires_at: float


def spending_expiry(value: bytes) -> float:
    """Return the Unix time in seconds after which a program's row may be removed."""
    return msgspec.msgpack.decode(value, type=SpendingRow).expires_at


@dataclass(frozen=True, slots=True)
class StoreState:
    """State of the store, and of grants that may be lost, as known to an owner.

    Attributes:
        is_unreachable: Whether no gateway reaches the store.
        may_have_lost_grants: Whether owners may have died with grants that no row
            records.
        may_grant_unrecorded: Whether this owner may now grant tokens without a row.
        may_hold_unrecorded: Whether this owner may take over accounts with such grants:
            the store says durably that it may have some.
        may_be_granted_elsewhere: Whether another gateway may have granted tokens
            without a row to programs that are new here.
        was_unreachable: Whether the store was unreachable at some time since the
            oldest grants that may still matter.
        should_fail_fast: Whether the outage of the store is confirmed, so that requests
            no longer wait for it.
        usual_s: How long the store usually takes to answer.
    """

    is_unreachable: bool
    may_have_lost_grants: bool
    may_grant_unrecorded: bool
    should_fail_fast: bool
    was_unreachable: bool = False
    may_hold_unrecorded: bool = True
    may_be_granted_elsewhere: bool = False
    usual_s: float = 0.0


class MovedAccount(msgspec.Struct, frozen=True, tag="moved"):
    """An account sent to its next owner; only that owner may use it from then on.

    Attributes:
        program: The program.
        budget: Tokens that all its turns may generate.
        spent: Tokens spent or reserved.
        unrecorded: Those of them that no row counts.
        allowance: Tokens up to which the next owner may grant without a store call.
        version: Version of the row; 0 if there is none.
        retention_s: How long after its last turn the program may return.
        open: Running turns with the most tokens of each, counted in ``spent``.
        unscoped_version: See :class:`.accounts.Account`.
        unscoped_tokens: The same.
        is_row_uncertain: The same.
        uncertain_tokens: The same.
    """

    program: str
    budget: int
    spent: int
    unrecorded: int
    allowance: int = msgspec.field(name="covered")
    version: int
    retention_s: float = msgspec.field(name="kept_s")
    open: dict[str, int]
    unscoped_version: int = 0
    unscoped_tokens: int = 0
    is_row_uncertain: bool = False
    uncertain_tokens: int = 0

    @property
    def uncounted(self) -> int:
        """Tokens that no row counts, or that its row may not count."""
        if self.version:
            return max(0, self.spent - self.allowance)
        return self.unrecorded


def moved_account(program: str, account: Account) -> MovedAccount:
    """Return an account in the form in which it is sent to its next owner."""
    return MovedAccount(
        program,
        account.budget,
        account.spent,
        account.unrecorded,
        account.allowance,
        account.version,
        account.retention_s,
        dict(account.open),
        account.unscoped_version,
        account.unscoped_tokens,
        account.is_row_uncertain,
        account.uncertain_tokens,
    )


def fill_account(account: Account, moved: MovedAccount) -> None:
    """Set an account to the state that its former owner has sent."""
    reserved = sum(moved.open.values())
    account.spent_before = moved.spent - moved.unrecorded
    account.assumed = 0
    account.inherited_unrecorded = moved.unrecorded
    if moved.version:
        account.spent_before -= reserved
    else:
        account.inherited_unrecorded -= reserved
    account.open = dict(moved.open)
    account.allowance = moved.allowance
    account.version = moved.version
    account.unscoped_version = moved.unscoped_version
    account.unscoped_tokens = moved.unscoped_tokens
    account.is_row_uncertain = moved.is_row_uncertain
    account.uncertain_tokens = moved.uncertain_tokens
    account.may_lack_grants = False
    account.retention_s = max(account.retention_s, moved.retention_s)
