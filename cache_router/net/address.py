"""Network addresses of the form `host:port`, which endpoint lists and the configuration use."""

from __future__ import annotations

from typing import NamedTuple

from cache_router.errors import RouterError

MAX_PORT = 65535
MAX_PORT_DIGITS = len(str(MAX_PORT))


class Address(NamedTuple):
    """A host and a TCP port, as the tuple that socket functions expect; `str` returns `host:port`."""

    host: str
    port: int

    def __str__(self) -> str:
        return f"{self.host}:{self.port}"


class AddressError(RouterError, ValueError):
    """A text that is not of the form `host:port`."""


def parse_address(text: str) -> Address:
    """Parse `host:port`, split at the last colon.

    The host must not be empty, and is not validated further. Port 0 is accepted: the kernel then chooses the
    port of a listener.

    Raises:
        AddressError: The host is empty, or the port is not a number of up to five ASCII digits below 65536.
    """
    host, _, port = text.rpartition(":")
    if not host or not _is_port(port):
        raise AddressError(f"address is not of the form host:port: {text[:40]!r}")
    return Address(host, int(port))


def _is_port(text: str) -> bool:
    """Return whether a text is a port number in ASCII digits, without a sign or spaces."""
    return text.isascii() and text.isdigit() and len(text) <= MAX_PORT_DIGITS and int(text) <= MAX_PORT
