"""Plug-ins that register themselves with the plug-in registry when they are imported."""
