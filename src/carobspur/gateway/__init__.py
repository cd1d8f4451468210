"""The gateway: the one process an instance runs where the platform keeps the state.

It takes callers' requests, decides where each may run, keeps turns and budgets in
the row store, and follows the configuration and the endpoints by feeds. Nothing in
here knows a name of the platform; :mod:`carobspur.platform` translates.
"""
