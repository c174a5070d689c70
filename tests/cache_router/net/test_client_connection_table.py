"""The table of clients' connections: states, the order within a state, and waits for a change."""

from __future__ import annotations

import asyncio

import pytest

from cache_router.net import client_connection_table
from cache_router.net.client_connection_table import ClientConnectionTable


class StubConnection:
    """A connection without behaviour; the table uses only its identity."""

    def has_sent_single_command(self) -> bool:
        raise NotImplementedError

    def has_unread_input(self) -> bool:
        raise NotImplementedError

    def unsent_size(self) -> int:
        raise NotImplementedError

    def has_unsent_output(self) -> bool:
        raise NotImplementedError

    def has_pending_io(self) -> bool:
        raise NotImplementedError

    def is_throttled_only(self) -> bool:
        raise NotImplementedError

    def close_if_between_requests(self) -> None:
        raise NotImplementedError

    def close_with_error(self, error: str) -> None:
        raise NotImplementedError

    def abort(self) -> None:
        raise NotImplementedError


async def test_connection_is_in_one_state_at_a_time() -> None:
    """A connection in two states could be evicted while a request of it is in flight."""
    table, connection = ClientConnectionTable(), StubConnection()
    table.on_accepted(connection)
    assert list(table) == list(table.awaiting_command_since) == [connection]
    assert not table.idle_since
    table.on_busy(connection)
    assert not table.awaiting_command_since
    assert not table.idle_since
    table.on_idle(connection)
    assert list(table.idle_since) == [connection]
    table.on_awaiting_command(connection)
    assert list(table.awaiting_command_since) == [connection]
    assert not table.idle_since
    table.on_idle(connection)
    assert not table.awaiting_command_since
    table.on_closed(connection)
    assert not len(table)
    assert not table.idle_since


async def test_closed_connection_does_not_enter_the_table_again() -> None:
    """Late timers and replies report the state of connections that have closed."""
    table, connection = ClientConnectionTable(), StubConnection()
    table.on_accepted(connection)
    table.on_closed(connection)
    table.on_closed(connection)  # the event loop reports an aborted connection a second time
    table.on_idle(connection)
    table.on_awaiting_command(connection)
    assert not list(table)
    assert not table.idle_since
    assert not table.awaiting_command_since


async def test_idle_time_starts_again_with_new_data_only() -> None:
    """Idle connections are evicted in the order of the table, the longest idle first."""
    table, first, second = ClientConnectionTable(), StubConnection(), StubConnection()
    for connection in (first, second):
        table.on_accepted(connection)
        table.on_idle(connection)
    since = table.idle_since[first]
    await asyncio.sleep(0.001)
    table.on_idle(first)  # a repeated report of the same state
    assert list(table.idle_since) == [first, second]
    assert table.idle_since[first] == since
    table.on_data_received(first)
    table.on_idle(first)
    assert list(table.idle_since) == [second, first]
    assert table.idle_since[first] > since


async def test_grace_for_the_first_command_ends(monkeypatch: pytest.MonkeyPatch) -> None:
    """A client that has just connected may be about to send its command."""
    monkeypatch.setattr(client_connection_table, "FIRST_COMMAND_GRACE", 60.0)
    table, connection = ClientConnectionTable(), StubConnection()
    table.on_accepted(connection)
    assert not list(table.awaiting_beyond_grace())
    monkeypatch.setattr(client_connection_table, "FIRST_COMMAND_GRACE", -1.0)
    assert list(table.awaiting_beyond_grace()) == [connection]


@pytest.mark.parametrize("change", ["on_closed", "on_idle"])
async def test_wait_ends_with_a_change(change: str, monkeypatch: pytest.MonkeyPatch) -> None:
    """The evictor and the drain act on a change at once, long before the grace has passed."""
    monkeypatch.setattr(client_connection_table, "FIRST_COMMAND_GRACE", 60.0)
    table, connection = ClientConnectionTable(), StubConnection()
    table.on_accepted(connection)
    wait = asyncio.create_task(table.wait_for_change())  # must not end because of the earlier change
    for _ in range(3):
        await asyncio.sleep(0)
    assert not wait.done()
    table.on_busy(connection)
    for _ in range(3):
        await asyncio.sleep(0)
    assert not wait.done()
    getattr(table, change)(connection)
    await wait


async def test_wait_ends_without_a_change_when_the_grace_has_passed() -> None:
    """By then a connection that has sent nothing may be evicted."""
    loop, table = asyncio.get_running_loop(), ClientConnectionTable()
    started_at = loop.time()
    await table.wait_for_change()
    assert loop.time() - started_at >= client_connection_table.FIRST_COMMAND_GRACE - 0.01
