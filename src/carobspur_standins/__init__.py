"""Stand-ins for the platform's services and for endpoints.

Tests, experiments and the demo run them instead of the real systems. They serve the
same protocols and have faults that tests can set.
"""
