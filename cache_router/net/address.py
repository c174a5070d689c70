"""Addresses of the form `host:port`."""

from __future__ import annotations


def address_of(text: str) -> tuple[str, int]:
    """Split `host:port`."""
    host, _, port = text.rpartition(":")
    return host, int(port)


def is_port(text: str) -> bool:
    """Whether it is a port's number, in the digits that `int` reads."""
    return text.isascii() and text.isdigit() and len(text) <= 5 and int(text) < 65536
