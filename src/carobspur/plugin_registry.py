"""Registry of plug-ins: routing, placement, holds, calls and reports register here."""

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
    """What a plug-in decides."""

    CALLS = "calls"
    ROUTING = "routing"
    HOLDS = "holds"
    PLACEMENT = "placement"
    REPORTS = "reports"


_factories: dict[PluginKind, dict[str, Callable[..., Any]]] = {
    kind: {} for kind in PluginKind
}


def register(kind: PluginKind, name: str) -> Callable[[Factory], Factory]:
    """Return a decorator that registers a plug-in's class or factory.

    Args:
        kind: What the plug-in decides.
        name: The name by which settings select it.

    Returns:
        A decorator that returns its argument unchanged.
    """

    def _register(factory: Factory) -> Factory:
        _factories[kind][name] = factory
        return factory

    return _register


def load_plugins(kind: PluginKind | None = None) -> None:
    """Import the modules of the plug-in package, so that each registers itself.

    Args:
        kind: Import only the modules of this kind, which their names begin with; a
            process that needs one kind starts sooner and stays smaller.
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
        name: Its registered name.

    Raises:
        SettingsError: No such plug-in is registered.
    """
    try:
        return _factories[kind][name]
    except KeyError:
        known = ", ".join(plugin_names(kind)) or "none"
        raise SettingsError(
            f"no {kind} plug-in is called {name!r}; known: {known}"
        ) from None
