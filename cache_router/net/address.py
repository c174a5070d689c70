"""Network addresses of the form `host:port`, as endpoint lists and the configuration give them."""

from __future__ import annotations

from cache_router.errors import RouterError

MAX_PORT = 65535
MAX_PORT_DIGITS = len(str(MAX_PORT))


class AddressError(RouterError, ValueError):
    """A text that is not `host:port`."""


def parse_address(text: str) -> tuple[str, int]:
    """Split `host:port` at its last colon.

    The host is taken as it stands and may not be empty. Port 0 is accepted: for a listener the kernel then
    chooses one.

    Raises:
        AddressError: The host is empty, or the port is not a number of up to five ASCII digits below 65536.
    """
    host, _, port = text.rpartition(":")
    if not host or not _is_port(port):
        raise AddressError(f"not host:port: {text[:40]!r}")
    return host, int(port)


def _is_port(text: str) -> bool:
    """Whether a text is a port's number, without a sign, spaces or digits of other scripts."""
    return text.isascii() and text.isdigit() and len(text) <= MAX_PORT_DIGITS and int(text) <= MAX_PORT
