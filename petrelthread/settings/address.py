"""Addresses of the form ``host:port``."""

from __future__ import annotations

MAX_PORT = 65535


def split_addr(addr: str) -> tuple[str, int]:
    """Host and port of an address. Raises ValueError if it is malformed."""
    host, separator, port = addr.rpartition(":")
    if not separator or not host or not port.isdigit() or not 0 < int(port) <= MAX_PORT:
        raise ValueError(f"expected host:port, got {addr!r}")
    return host, int(port)
