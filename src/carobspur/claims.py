"""Claims: which endpoint addresses and keys the organisations' inventories list.

The table has one row for each address and for each key's digest. The row holds the
properties of the address or key and the number of inventories that list it. An import
reads and rewrites only the rows of entries that it adds, changes or removes, in its own
transaction. All imports check the same head row, so only one of two organisations that
claim an address at the same time succeeds, and no import reads the inventories of other
organisations.
"""

from __future__ import annotations

import asyncio
from enum import StrEnum

import msgspec

from .inventory import Inventory
from .inventory_checks import Fault
from .table import Row, Table, Write

CLAIM_PREFIX = "inventory/claim/"


class ClaimKind(StrEnum):
    """What is claimed: the address of an engine or service, or a key."""

    ENGINE = "engine"
    SERVICE = "service"
    KEY = "key"


class ClaimFacts(msgspec.Struct, frozen=True):
    """Properties on which all inventories that list an address or key must agree.

    Attributes:
        kind: Whether it is an engine, a service or a key.
        shared: Whether several organisations may list it.
        data_centre: Data centre of the endpoint; empty for a key.
        checks_fencing: Whether the endpoint rejects requests with an old fencing
            number.
        kv_tokens: Capacity of an engine's prefix cache, in tokens.
        in_flight: Number of calls that the endpoint runs concurrently.
    """

    kind: ClaimKind
    shared: bool = False
    data_centre: str = ""
    checks_fencing: bool = False
    kv_tokens: int = 0
    in_flight: int = 0


class ClaimRow(msgspec.Struct, frozen=True):
    """Content of a claim's row.

    Attributes:
        facts: Properties on which all inventories agree.
        organisations: Number of organisations whose inventories list it.
    """

    facts: ClaimFacts
    organisations: int


class ListedClaim(msgspec.Struct, frozen=True):
    """A claim made by one inventory.

    Attributes:
        place: Path of the entry in the inventory, such as ``engines[0]``.
        facts: Properties that the inventory gives.
    """

    place: str
    facts: ClaimFacts


class ClaimPlan(msgspec.Struct, frozen=True):
    """What an import must write to the claims, or why it is refused.

    Attributes:
        writes: Writes of the claims' rows, for the transaction of the import.
        faults: Conflicts with claims of other organisations; if there are any, the
            import must be refused.
    """

    writes: list[Write] = []
    faults: list[Fault] = []


def claims_of(inventory: Inventory | None) -> dict[str, ListedClaim]:
    """Return the claims of an inventory, by the keys of their rows."""
    found: dict[str, ListedClaim] = {}
    if inventory is None:
        return found
    for index, key in enumerate(inventory.keys):
        listed = ListedClaim(f"keys[{index}].sha256", ClaimFacts(ClaimKind.KEY))
        found[f"{CLAIM_PREFIX}key/{key.sha256}"] = listed
    for index, engine in enumerate(inventory.engines):
        facts = ClaimFacts(
            ClaimKind.ENGINE,
            shared=True,
            data_centre=engine.data_centre,
            checks_fencing=engine.checks_fencing,
            kv_tokens=engine.kv_tokens,
            in_flight=engine.in_flight,
        )
        found[_address_key(engine.address)] = ListedClaim(f"engines[{index}]", facts)
    for index, service in enumerate(inventory.services):
        for position, replica in enumerate(service.replicas):
            facts = ClaimFacts(
                ClaimKind.SERVICE,
                shared=service.shared,
                data_centre=replica.data_centre,
                checks_fencing=service.checks_fencing,
                in_flight=service.in_flight,
            )
            place = f"services[{index}].replicas[{position}]"
            found[_address_key(replica.address)] = ListedClaim(place, facts)
    return found


async def plan_claims(
    table: Table, before: Inventory | None, after: Inventory
) -> ClaimPlan:
    """Return how a new inventory of an organisation changes the claims.

    Args:
        table: The table service.
        before: The organisation's current inventory, or ``None`` if it has none.
        after: The inventory that replaces it.

    Raises:
        StoreUnavailableError: The table service did not answer.
    """
    old, new = claims_of(before), claims_of(after)
    changed = [
        key
        for key in sorted(old.keys() | new.keys())
        if key not in old or key not in new or old[key].facts != new[key].facts
    ]
    rows = await asyncio.gather(*(table.read(key) for key in changed))
    plan = ClaimPlan()
    for key, row in zip(changed, rows, strict=True):
        _plan_claim(plan, key, row, is_listed=key in old, wanted=new.get(key))
    return plan


def _plan_claim(
    plan: ClaimPlan,
    key: str,
    row: Row | None,
    *,
    is_listed: bool,
    wanted: ListedClaim | None,
) -> None:
    claim = None if row is None else msgspec.json.decode(row.value, type=ClaimRow)
    others = max(0, (claim.organisations if claim else 0) - is_listed)
    if wanted is not None and others > 0:
        reason = _conflict_reason(claim.facts, wanted.facts)
        if reason:
            plan.faults.append(Fault(wanted.place, reason))
            return
    facts = claim.facts if wanted is None else wanted.facts
    count = others + (wanted is not None)
    value = msgspec.json.encode(ClaimRow(facts, count)) if count else None
    plan.writes.append(Write(key, value))


def _conflict_reason(theirs: ClaimFacts, ours: ClaimFacts) -> str:
    """Return why a claim conflicts with that of others; empty if it does not."""
    if theirs.kind == ClaimKind.KEY:
        return "this key is in use; make a new one"
    if theirs.kind != ours.kind or not theirs.shared:
        return f"the address is another organisation's {theirs.kind}"
    if not ours.shared:
        return "other organisations list the address as shared"
    differences = [
        f"{name} is {getattr(theirs, name)!r} there"
        for name in ("data_centre", "checks_fencing", "kv_tokens", "in_flight")
        if getattr(theirs, name) != getattr(ours, name)
    ]
    if not differences:
        return ""
    return f"other organisations share this {theirs.kind}: {', '.join(differences)}"


def _address_key(address: str) -> str:
    return f"{CLAIM_PREFIX}address/{address}"
