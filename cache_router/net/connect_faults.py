"""Distinguishes failed connects for which the server is at fault from those for which this machine is."""

from __future__ import annotations

import errno

from cache_router.decisions.events import AttemptStatus

# Errors of socket(2) and connect(2) for which this machine lacks a resource.
RESOURCE_ERRORS = frozenset(
    {errno.EADDRNOTAVAIL, errno.EAGAIN, errno.EINTR, errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM}
)
# Errors of this machine's network or of its route to one server.
ROUTE_ERRORS = frozenset({errno.EACCES, errno.ENETDOWN, errno.ENETUNREACH, errno.EPERM})
MAX_ADDRESSES = 4096  # addresses with a route error that are remembered


class ConnectFaults:
    """Decides whether an attempt whose connect has failed counts as a fault of its server.

    A route error counts against the server only once another server has been reached since the first route
    error of its address: while the network of this machine is down, all servers fail alike.
    """

    def __init__(self) -> None:
        """Create the state of a pool without failed connects."""
        self._connected_count = 0
        self._count_at_first_error: dict[str, int] = {}  # successful connects before it, by address

    def on_connected(self, address: str) -> None:
        """Record that a server has been reached."""
        self._connected_count += 1
        self._count_at_first_error.pop(address, None)

    def status_of(self, address: str, error: Exception) -> AttemptStatus:
        """Return the status of an attempt whose connect to an address has failed with an error."""
        number = error.errno if isinstance(error, OSError) else None
        if number in RESOURCE_ERRORS or (number in ROUTE_ERRORS and not self._is_route_of_server(address)):
            return AttemptStatus.NOT_SENT
        return AttemptStatus.CONNECT_FAILED

    def _is_route_of_server(self, address: str) -> bool:
        if len(self._count_at_first_error) >= MAX_ADDRESSES:
            self._count_at_first_error.clear()
        return self._connected_count > self._count_at_first_error.setdefault(address, self._connected_count)
