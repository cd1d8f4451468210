"""The gateway: the only process on an instance where the platform stores the state.

It accepts callers' requests, decides which endpoint may run each, stores turns and
budgets in the row store, and follows changes of the configuration and of the endpoints
through feeds. This package is independent of the platform's protocols and names;
:mod:`carobspur.platform` translates between them.
"""
