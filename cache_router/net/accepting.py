"""Accepts clients that the kernel has queued; distinguishes faults of a client from those of this machine."""

from __future__ import annotations

import errno
import socket
from dataclasses import dataclass, field

from cache_router.net.address import Address

# Errors that concern only the client whose connection is accepted: it is gone, or its network has failed.
# Linux passes pending network errors of the new connection to the caller of accept(2).
CLIENT_ERRORS = frozenset(
    {
        errno.ECONNABORTED,
        errno.ECONNRESET,
        errno.EHOSTDOWN,
        errno.EHOSTUNREACH,
        errno.EINTR,
        errno.ENETDOWN,
        errno.ENETUNREACH,
        errno.ENONET,
        errno.ENOPROTOOPT,
        errno.EOPNOTSUPP,
        errno.EPERM,
        errno.EPROTO,
        errno.ETIMEDOUT,
    }
)


@dataclass(slots=True, frozen=True)
class AcceptedClient:
    """The socket of an accepted client."""

    socket: socket.socket
    address: Address


@dataclass(slots=True)
class AcceptedBatch:
    """The clients that were accepted at once, and why there were no more of them."""

    clients: list[AcceptedClient] = field(default_factory=list)
    client_errors: list[OSError] = field(default_factory=list)  # each of one client that is gone
    is_backlog_empty: bool = False
    error: OSError | None = None  # lack of a resource of this machine, which a later accept may find again


def accept_batch(listening: socket.socket, max_clients: int) -> AcceptedBatch:
    """Accept up to `max_clients` clients that are queued at a non-blocking listening socket."""
    batch = AcceptedBatch()
    for _ in range(max_clients):
        try:
            client, address = listening.accept()
        except BlockingIOError:
            batch.is_backlog_empty = True
            break
        except OSError as error:
            if error.errno not in CLIENT_ERRORS:
                batch.error = error
                break
            batch.client_errors.append(error)
        else:
            batch.clients.append(AcceptedClient(client, Address(*address)))
    return batch
