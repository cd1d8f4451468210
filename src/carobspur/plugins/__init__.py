"""Plug-ins that register themselves with the kernel when they are imported."""
