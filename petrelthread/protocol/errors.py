"""Errors raised for malformed incoming messages."""

from __future__ import annotations


class BadRequestError(Exception):
    """A message body is malformed; the error text gives the reason and, if known, the field."""
