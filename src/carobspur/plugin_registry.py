"""Registry of plug-ins by kind and name.

Modules of :mod:`carobspur.plugins` register factories with :func:`register` when they
are imported; others look them up by kind and name.
"""

from __future__ import annotations

import importlib
import pkgutil
from collections.abc import Callable
from enum import StrEnum
from typing import Any, TypeVar

from . import plugins
from .errors import SettingsError

Factory = TypeVar("Factory", bound=Callable[..., Any])


class PluginKind(StrEnum):
    """What a plug-in decides; its modules' names begin with the value."""

    CALLS = "calls"
    ROUTING = "routing"
    HOLDS = "holds"
    PLACEMENT = "placement"
    REPORTS = "reports"


_factories: dict[PluginKind, dict[str, Callable[..., Any]]] = {
    kind: {} for kind in PluginKind
}


def register(kind: PluginKind, name: str) -> Callable[[Factory], Factory]:
    """Return a decorator that registers the class or factory of a plug-in.

    Args:
        kind: What the plug-in decides.
        name: Name by which the plug-in is selected.

    Returns:
        A decorator that returns its argument unchanged.
    """

    def _register(factory: Factory) -> Factory:
        _factories[kind][name] = factory
        return factory

    return _register


def load_plugins(kind: PluginKind | None = None) -> None:
    """Import the modules of the plug-in package, so that they register themselves.

    Args:
        kind: Import only the modules whose names begin with this kind, so that a
            process that needs one kind starts faster and uses less memory.
    """
    prefix = f"{kind}_" if kind else ""
    for module in pkgutil.iter_modules(plugins.__path__):
        if module.name.startswith(prefix):
            importlib.import_module(f"{plugins.__name__}.{module.name}")


def plugin_names(kind: PluginKind) -> list[str]:
    """Return the sorted names of the registered plug-ins of one kind."""
    return sorted(_factories[kind])


def plugin(kind: PluginKind, name: str) -> Callable[..., Any]:
    """Return the factory of one plug-in.

    Args:
        kind: What the plug-in decides.
        name: Name under which it is registered.

    Raises:
        SettingsError: No such plug-in is registered.
    """
    try:
        return _factories[kind][name]
    except KeyError:
        registered = ", ".join(plugin_names(kind)) or "none"
        raise SettingsError(
            f"no {kind} plug-in is named {name!r}; registered: {registered}"
        ) from None
