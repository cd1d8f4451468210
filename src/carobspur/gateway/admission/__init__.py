"""Admission control by program for services that are offered more than they serve."""
