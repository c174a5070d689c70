"""Parsing and formatting of emulator addresses, text of the form `host:port`.

The router's own parser is not used here: importing it would load the router's decision module into the
discovery process, whose memory is measured.
"""

from __future__ import annotations


def parse_address(text: str) -> tuple[str, int]:
    """Return the host and the port of an address, which is split at its last colon.

    Raises:
        ValueError: The port is not a number.
    """
    host, _, port = text.rpartition(":")
    return host, int(port)


def format_address(address: tuple[str, int]) -> str:
    """Return an address as `host:port`."""
    host, port = address
    return f"{host}:{port}"
