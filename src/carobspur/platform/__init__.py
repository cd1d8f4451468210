"""Translates between the platform's protocol and the gateway.

Every name of the platform's wire is decoded in this package, once, into the types of
:mod:`carobspur.gateway`.
"""
