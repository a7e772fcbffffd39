"""The server's responses and their encoding."""

from __future__ import annotations

from functools import lru_cache
from typing import NamedTuple

import h11
import orjson

MAX_CACHED_HEADS = 512


class Response(NamedTuple):
    """A complete response with a JSON body."""

    status: int
    body: bytes
    retry_after_s: int | None = None  # value of the Retry-After header


def json_response(status: int, body: object, retry_after_s: int | None = None) -> Response:
    """Return a response whose body is ``body`` encoded as JSON."""
    return Response(status, orjson.dumps(body), retry_after_s)


def error_response(status: int, reason: str, retry_after_s: int | None = None) -> Response:
    """Return a response whose body is ``{"error": reason}``."""
    return json_response(status, {"error": reason}, retry_after_s)


def encode_response(response: Response, close: bool, head_only: bool = False) -> bytes:
    """Return the bytes to send; ``close`` announces that the connection will be closed.

    ``head_only`` omits the body, as HTTP requires in the response to a HEAD request.
    """
    head = _encode_head(response.status, len(response.body), response.retry_after_s, close)
    return head if head_only else head + response.body


@lru_cache(maxsize=MAX_CACHED_HEADS)
def _encode_head(status: int, length: int, retry_after_s: int | None, close: bool) -> bytes:
    """Encode status line and headers; cached, as h11 is slow compared with heartbeat handling."""
    headers = [("Content-Type", "application/json"), ("Content-Length", str(length))]
    if retry_after_s is not None:
        headers.append(("Retry-After", str(retry_after_s)))
    if close:
        headers.append(("Connection", "close"))
    response = h11.Response(status_code=status, headers=headers)
    return h11.Connection(h11.SERVER).send(response) or b""
