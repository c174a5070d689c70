"""Order of idle connections, in total and per address."""

from __future__ import annotations

import pytest

from cache_router.net.cache_connection import CacheConnection
from cache_router.net.connection_pool import ConnectionPool
from cache_router.net.idle_connection_set import IdleConnectionSet
from cache_router.net.upstream_connection import UpstreamConnection

A, B = "127.0.0.1:1", "127.0.0.1:2"


def make_connection(address: str) -> CacheConnection:
    """Return a connection that is not established."""
    return CacheConnection(ConnectionPool(CacheConnection, 8, 1.0, 60.0), address, None)


def longest_idle_to_a(idle: IdleConnectionSet) -> UpstreamConnection | None:
    """Return the longest-idle connection to address A; None if no connection to it is idle."""
    return next(iter(idle.connections_to(A)), None)


def test_longest_idle_connection_comes_first() -> None:
    """The most recently used connection is the most likely to receive a late second response."""
    idle = IdleConnectionSet()
    assert idle.longest_idle() is longest_idle_to_a(idle) is None
    first, second, third = (make_connection(address) for address in (B, A, A))
    for now, connection in enumerate((first, second, third)):
        idle.add(connection, float(now))
    assert len(idle) == 3
    assert idle.longest_idle() is first
    assert longest_idle_to_a(idle) is second
    assert idle.connections_to(A) == [second, third]
    assert idle.idle_since(third) == 2.0


def test_connection_that_is_used_again_is_idle_for_the_shortest_time() -> None:
    """If it kept its old position, the pool would close it before connections that are not in use."""
    idle = IdleConnectionSet()
    first, second = make_connection(A), make_connection(A)
    for now, connection in enumerate((first, second)):
        idle.add(connection, float(now))
    idle.discard(first)
    assert idle.connections_to(A) == [second]
    idle.add(first, 2.0)
    assert idle.longest_idle() is longest_idle_to_a(idle) is second
    assert idle.idle_since(first) == 2.0


def test_discarded_connection_is_not_returned() -> None:
    """A connection may be discarded twice: when it is aborted, and when it is closed."""
    idle = IdleConnectionSet()
    connection = make_connection(A)
    idle.add(connection, 0.0)
    for _ in range(2):
        idle.discard(connection)
        assert len(idle) == 0
        assert idle.longest_idle() is longest_idle_to_a(idle) is None
        assert idle.connections_to(A) == []
    with pytest.raises(KeyError):
        idle.idle_since(connection)
