"""System calls that fail for a fault of this machine: no server is blamed for it."""

from __future__ import annotations

import asyncio
import errno
import os

import pytest

from cache_router.decisions.events import AttemptStatus
from tests.support.loopback import HIT, Peer
from tests.support.upstream_attempts import AttemptRecorders


class FaultyConnects:
    """Replaces the connects of the event loop by ones that fail while an error is set."""

    def __init__(self, monkeypatch: pytest.MonkeyPatch) -> None:
        """Replace the connects until the end of the test."""
        self.error = 0
        self.failing_port = 0  # the only port whose connects fail, or 0 for all
        connect = asyncio.selector_events.BaseSelectorEventLoop.sock_connect

        async def connect_or_fail(loop: asyncio.SelectorEventLoop, sock: object, address: object) -> None:
            assert isinstance(address, tuple)
            if self.error and self.failing_port in (0, address[1]):
                raise OSError(self.error, os.strerror(self.error))
            await connect(loop, sock, address)  # type: ignore[arg-type]

        monkeypatch.setattr(asyncio.selector_events.BaseSelectorEventLoop, "sock_connect", connect_or_fail)


@pytest.fixture
def connects(monkeypatch: pytest.MonkeyPatch) -> FaultyConnects:
    """Connects that a test lets fail."""
    return FaultyConnects(monkeypatch)


LOCAL_ERRORS = [
    errno.EADDRNOTAVAIL,
    errno.EAGAIN,
    errno.EMFILE,
    errno.ENFILE,
    errno.ENOBUFS,
    errno.ENOMEM,
    errno.EACCES,
    errno.ENETDOWN,
    errno.ENETUNREACH,
    errno.EPERM,
]


@pytest.mark.parametrize("error", LOCAL_ERRORS, ids=errno.errorcode.get)
async def test_fault_of_this_machine_is_no_failed_connect(
    peer: Peer, attempt_recorders: AttemptRecorders, connects: FaultyConnects, error: int
) -> None:
    """Guards against servers that are ejected after a fault of this machine (issue 38)."""
    attempts = attempt_recorders.on_caches()
    connects.error = error
    attempts.start(peer.address)
    assert await attempts.outcome() == (AttemptStatus.NOT_SENT, b"")
    assert attempts.pool.statistics.failed_connects == {errno.errorcode[error]: 1}


@pytest.mark.parametrize(
    "error",
    [errno.ECONNREFUSED, errno.ECONNRESET, errno.EHOSTUNREACH, errno.ETIMEDOUT],
    ids=errno.errorcode.get,
)
async def test_fault_of_a_server_is_a_failed_connect(
    peer: Peer, attempt_recorders: AttemptRecorders, connects: FaultyConnects, error: int
) -> None:
    attempts = attempt_recorders.on_caches()
    connects.error = error
    attempts.start(peer.address)
    assert await attempts.outcome() == (AttemptStatus.CONNECT_FAILED, b"")
    assert not attempts.pool.statistics.failed_connects


async def test_server_without_a_route_is_blamed_once_another_one_is_reached(
    peer: Peer, attempt_recorders: AttemptRecorders, connects: FaultyConnects
) -> None:
    """A network that is unreachable from here alone must not cost the requests of its servers for long."""
    attempts = attempt_recorders.on_caches()
    async with Peer() as other:
        connects.error, connects.failing_port = errno.ENETUNREACH, int(peer.address.rpartition(":")[2])
        attempts.start(peer.address)
        assert await attempts.outcome() == (AttemptStatus.NOT_SENT, b"")
        link = await attempts.start_on(other)
        link.write(HIT)
        await attempts.outcome()
        attempts.start(peer.address)
        assert await attempts.outcome() == (AttemptStatus.CONNECT_FAILED, b"")
        connects.error = 0
        link = await attempts.start_on(peer)
        link.write(HIT)
        assert (await attempts.outcome())[0] is AttemptStatus.OK
        connects.error = errno.ENETUNREACH
        attempts.pool.close_idle(peer.address)
        attempts.start(peer.address)
        assert await attempts.outcome() == (AttemptStatus.NOT_SENT, b"")
