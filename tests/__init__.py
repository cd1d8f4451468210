"""Tests; logs of the code under test are left out of the reports."""

import logging

logging.disable(logging.CRITICAL)
