"""The selector that bounds the work of a turn of the event loop."""

from __future__ import annotations

import selectors
import socket
import time
from collections.abc import Iterator

import pytest

from cache_router.net.fair_selector import MAX_EVENTS_PER_TURN, FairSelector

SOCKETS = 3 * MAX_EVENTS_PER_TURN


@pytest.fixture
def readable() -> Iterator[list[socket.socket]]:
    """Sockets that all have a byte to read."""
    pairs = [socket.socketpair() for _ in range(SOCKETS)]
    for near, _ in pairs:
        near.send(b"x")
    yield [far for _, far in pairs]
    for near, far in pairs:
        near.close()
        far.close()


def registered(sockets: list[socket.socket]) -> FairSelector:
    """Return a selector of sockets."""
    selector = FairSelector()
    for each in sockets:
        selector.register(each, selectors.EVENT_READ)
    return selector


def test_every_ready_descriptor_is_returned_once_in_a_round(readable: list[socket.socket]) -> None:
    """Guards against descriptors that wait for as long as others are ready (issue 37)."""
    with registered(readable) as selector:
        for _ in range(4):  # rounds
            seen = []
            for _ in range(SOCKETS // MAX_EVENTS_PER_TURN):
                events = selector.select(0)
                assert len(events) == MAX_EVENTS_PER_TURN
                seen += [key.fd for key, _ in events]
            assert sorted(seen) == sorted(each.fileno() for each in readable)


def test_deferred_input_counts_from_when_it_was_ready(readable: list[socket.socket]) -> None:
    with registered(readable) as selector:
        before = selector.started_at
        first = {key.fd for key, _ in selector.select(0)}
        time.sleep(0.02)
        second = {key.fd for key, _ in selector.select(0)}
        assert not first & second
        for descriptor in second:
            assert selector.ready_since(descriptor) == before


def test_input_that_ends_a_wait_counts_from_its_end() -> None:
    near, far = socket.socketpair()
    with near, far, registered([far]) as selector:
        selector.select(0.01)
        near.send(b"x")
        time.sleep(0.01)
        before = selector.started_at
        selector.select(0.0)
        assert selector.ready_since(far.fileno()) == before  # it was ready before the call
        far.recv(1)
        started = time.monotonic()
        near.setblocking(False)
        assert not selector.select(0.01)
        assert selector.lag == 0.0
        assert selector.ready_since(far.fileno()) >= started + 0.01


def test_descriptor_that_is_used_again_has_no_earlier_time(readable: list[socket.socket]) -> None:
    with registered(readable) as selector:
        first = {key.fd for key, _ in selector.select(0)}
        deferred = next(each for each in readable if each.fileno() not in first)
        selector.unregister(deferred)
        selector.register(deferred, selectors.EVENT_READ)
        started = selector.started_at
        selector.select(0)
        assert selector.ready_since(deferred.fileno()) == started


def test_turns_are_measured() -> None:
    lengths: list[float] = []
    near, far = socket.socketpair()
    with near, far, registered([far]) as selector:
        selector.on_turn_ended = lengths.append
        selector.select(0)
        time.sleep(0.01)
        selector.select(0)
    assert lengths[-1] >= 0.01


def test_input_during_a_pause_of_the_process_counts_from_its_start(monkeypatch: pytest.MonkeyPatch) -> None:
    """A process that gets no core, or is suspended, does not know when its wait has ended."""
    near, far = socket.socketpair()
    with near, far, registered([far]) as selector:
        select = selectors.DefaultSelector.select

        def held_up(self: selectors.DefaultSelector, timeout: float | None = None) -> object:
            near.send(b"x")
            time.sleep(0.05)
            return select(self, timeout)

        monkeypatch.setattr(selectors.DefaultSelector, "select", held_up)
        called_at = time.monotonic()
        selector.select(0.01)
        assert selector.ready_since(far.fileno()) <= selector.started_at - 0.05
        assert selector.ready_since(far.fileno()) >= called_at


def test_single_long_turn_is_no_lag(readable: list[socket.socket]) -> None:
    """Guards against requests that are rejected after one long turn, such as that of a list."""
    with registered(readable) as selector:
        selector.select(0)
        time.sleep(0.02)
        selector.select(0)
        assert selector.lag < 0.02
        time.sleep(0.02)
        selector.select(0)
        assert selector.lag >= 0.02
