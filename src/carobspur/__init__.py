"""A scheduler for agent programs: every process between callers and endpoints."""
