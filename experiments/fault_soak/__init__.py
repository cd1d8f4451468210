"""Randomized fault soak of the gateway.

Callers send requests through real gateway processes while faults are injected from
outside: signals, broken connections to the store, faults of store and replicas, new
configurations. Afterwards the answers are compared with what the replicas executed.
"""
