"""Plug-ins; each module registers its factories when it is imported."""
