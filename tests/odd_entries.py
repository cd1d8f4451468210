"""Registry entries that another writer might have left; none names a replica."""

from __future__ import annotations

import json

DEPTH = 5000


def odd_entries(valid: dict) -> list[bytes]:
    """Return entries that differ from a valid one in something that no replica writes.

    Args:
        valid: Content of a valid entry.
    """
    host = valid["address"].rpartition(":")[0]
    port = valid["address"].rpartition(":")[2]
    nested = b"[" * DEPTH + b"]" * DEPTH
    mapped = b'{"a":' * DEPTH + b"1" + b"}" * DEPTH
    changes: list[dict] = [
        {"slots": 10**30},
        {"slots": 2**63},
        {"slots": -1},
        {"slots": 1.5},
        {"born": 2**64},
        {"born": -1},
        {"sequence": 10**40},
        {"address": f"{host}:0"},
        {"address": f"{host}:70000"},
        {"address": f"{host}:-1"},
        {"address": f"{host}: {port}"},
        {"address": f"{host}:" + "9" * 5000},
        {"address": f"{host}:\u0663\u0663"},
        {"address": f"replica.example:{port}"},
        {"address": f"a\x00b:{port}"},
        {"address": "a" * 300 + f":{port}"},
        {"address": f"::1:{port}"},
    ]
    text = json.dumps(valid).encode()
    return [
        *(json.dumps({**valid, **change}).encode() for change in changes),
        b'{"extra":' + nested + b"," + text[1:],
        b'{"extra":' + mapped + b"," + text[1:],
        json.dumps({**valid, "slots": "S"}).encode().replace(b'"S"', nested),
        json.dumps({**valid, "slots": "S"}).encode().replace(b'"S"', b"1e999"),
        json.dumps({**valid, "slots": "S"}).encode().replace(b'"S"', b"9" * 5000),
        json.dumps({**valid, "service": "S"}).encode().replace(b'"S"', b'"\\ud800"'),
        nested,
    ]
