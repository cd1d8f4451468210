"""Measurements. Each module with a ``main`` is a command, short and bounded in time."""
