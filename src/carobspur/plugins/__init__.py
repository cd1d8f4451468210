"""Plug-ins that register themselves with ``plugin_registry`` when imported."""
