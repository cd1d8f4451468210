"""Adapter between the platform's protocol and the gateway.

Every name of the protocol is decoded once, in this package, into the types of
:mod:`carobspur.gateway`.
"""
