"""Customers: who is calling, and how many requests each of them may send."""
