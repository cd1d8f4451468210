"""Builders of configurations with customers, for tests."""

from __future__ import annotations

import asyncio

from .platform_world import CallerAnswer, World, configuration, route

KEYS = {"lima": "key-of-lima", "rome": "key-of-rome"}
"""One API key of each customer of :func:`customer_configuration`."""
APPLY_S = 15.0
"""Longest wait for a configuration; the machine may be busy."""


def tenant(name: str, *keys: str, **more: object) -> dict:
    """Return the entry of a customer in the operator's configuration."""
    return {"name": name, "apiKeys": list(keys), **more}


def bearer(key: str) -> str:
    """Return the value of ``Authorization`` for a key."""
    return f"Bearer {key}"


def customer_configuration(
    version: int = 2, tenants: list | None = None, **more: object
) -> dict:
    """Return a configuration with customers and an open route ``/open/``."""
    if tenants is None:
        tenants = [tenant(name, key) for name, key in KEYS.items()]
    routes = [
        *configuration()["routes"],
        route("open", "idempotent", "tools", allowAnonymous=True),
    ]
    return configuration(version, tenants=tenants, routes=routes, **more)


async def configure(deployment: World, content: dict) -> None:
    """Write a configuration and wait until every gateway has it in force."""
    deployment.configure(content)
    async with asyncio.timeout(APPLY_S):
        for gateway in deployment.gateways:
            while not any(
                line["version"] >= content["version"]
                for line in gateway.events("configuration")
            ):
                await asyncio.sleep(0.02)


async def call_as(
    deployment: World, customer: str, path: str, **more: object
) -> CallerAnswer:
    """Send a request with the key of a customer."""
    return await deployment.call(path, authorization=bearer(KEYS[customer]), **more)
