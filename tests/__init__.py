"""Tests. Logging is switched off, so reports contain no logs of the code under test."""

import logging

logging.disable(logging.CRITICAL)
