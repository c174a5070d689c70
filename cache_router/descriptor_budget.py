"""How the file descriptors of the process are divided between the kinds of connections."""

from __future__ import annotations

import logging
import resource
from dataclasses import dataclass
from typing import Self

from cache_router.config import MIN_DESCRIPTORS, ConfigError

# file descriptors for the event loop, the log, the listening socket and discovery
RESERVED_DESCRIPTORS = 32
# how the other descriptors are divided, in eighths: as many for clients as for all upstream connections;
# docs/CAPACITY.md lists the resulting counts
CACHE_EIGHTHS = 3
ORIGIN_EIGHTHS = 1
CLIENT_EIGHTHS = 4
log = logging.getLogger(__name__)


def usable_descriptors(configured: int) -> int:
    """How many of the configured file descriptors this process may open.

    A budget above the limit of the process would let idle clients take the descriptor that the connection to
    discovery needs: the router would evict no client to free it.

    Raises:
        ConfigError: the limit of the process is too low for a router.
    """
    limit, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    if limit == resource.RLIM_INFINITY or limit >= configured:
        return configured
    if limit < MIN_DESCRIPTORS:
        message = f"limits.sockets: this process may open {limit}, and needs {MIN_DESCRIPTORS}"
        raise ConfigError(message, where="limits.sockets")
    log.warning("limits.sockets is %d, but this process may open %d", configured, limit)
    return limit


@dataclass(slots=True, frozen=True)
class DescriptorBudget:
    """How many file descriptors each kind of connection may hold."""

    caches: int  # connections to cache servers
    origin: int  # connections to the origin
    clients: int  # connections of clients

    @classmethod
    def divide(cls, descriptors: int) -> Self:
        """Divide the descriptors that are not reserved."""
        shared = descriptors - RESERVED_DESCRIPTORS
        return cls(
            caches=shared * CACHE_EIGHTHS // 8,
            origin=shared * ORIGIN_EIGHTHS // 8,
            clients=shared * CLIENT_EIGHTHS // 8,
        )
