"""Bounds on the memory and the connections that callers can take up.

The load handled here is clients that send incomplete or oversized requests, or that
read no answers, on many connections at the same time. The modules do no I/O and read
no clock.
"""
