"""Divides the file descriptors of the process among the kinds of connections."""

from __future__ import annotations

import logging
import resource
from dataclasses import dataclass
from typing import Self

from cache_router.config import MIN_DESCRIPTORS, ConfigError

# file descriptors for the event loop, the log, the listening socket and discovery
RESERVED_DESCRIPTORS = 32
# Shares of the remaining descriptors, in eighths. Clients get as many as all upstream connections together.
# docs/CAPACITY.md lists the resulting counts.
CACHE_EIGHTHS = 3
ORIGIN_EIGHTHS = 1
CLIENT_EIGHTHS = 4
log = logging.getLogger(__name__)


def usable_descriptors(configured: int) -> int:
    """Return the number of configured file descriptors that this process may open.

    With a budget above the limit of the process, idle clients could take the descriptor that the connection
    to discovery needs, and the router would not evict a client to free it.

    Raises:
        ConfigError: the file descriptor limit of the process is too low for a router.
    """
    limit, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    if limit == resource.RLIM_INFINITY or limit >= configured:
        return configured
    if limit < MIN_DESCRIPTORS:
        message = (
            f"limits.sockets: this process may open {limit} file descriptors, but needs {MIN_DESCRIPTORS}"
        )
        raise ConfigError(message, where="limits.sockets")
    log.warning("limits.sockets is %d, but this process may open only %d file descriptors", configured, limit)
    return limit


@dataclass(slots=True, frozen=True)
class DescriptorBudget:
    """Maximum number of file descriptors for each kind of connection."""

    caches: int  # connections to cache servers
    origin: int  # connections to the origin
    clients: int  # connections of clients

    @classmethod
    def divide(cls, descriptors: int) -> Self:
        """Divide all descriptors except the reserved ones among the kinds of connections."""
        shared = descriptors - RESERVED_DESCRIPTORS
        return cls(
            caches=shared * CACHE_EIGHTHS // 8,
            origin=shared * ORIGIN_EIGHTHS // 8,
            clients=shared * CLIENT_EIGHTHS // 8,
        )
