"""Scheduler between agent programs and their model engines, tools and services."""
