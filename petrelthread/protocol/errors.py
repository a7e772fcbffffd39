"""Errors in messages that arrive."""

from __future__ import annotations


class BadRequestError(Exception):
    """The body of a request is malformed; the text names the field and the reason."""
