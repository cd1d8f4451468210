"""Measurements: each module is a command of its own, short and bounded in time."""
