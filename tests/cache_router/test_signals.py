"""Signals during startup, shutdown and exit of the program, most of them sent where the test halts it.

Faults that these tests guard against: SIGHUP in the first half second after the start killed the process (6
of 6), because the event loop had no handlers yet. Signals during a graceful shutdown killed it with the
status of the signal (8 of 8), because the event loop removes its handlers when it closes, before the
interpreter exits.
"""

from __future__ import annotations

import asyncio
import os
import signal
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager, suppress
from dataclasses import dataclass
from pathlib import Path
from typing import Any

import orjson
import pytest

from tests.support.loopback import Clients, Peer
from tests.support.router_process import (
    PROCESS_TEST_TIMEOUT,
    config_with_cache,
    discard_log,
    listen_address,
    router_process,
    send_signal,
)

SIGNALS = [signal.SIGHUP, signal.SIGTERM]
REPEATS = 20
# Python imports this module, as `sitecustomize`, when it starts. The module halts the program at a given
# point by reading a pipe, which blocks until the test has opened the pipe for writing and closed it.
HALTING_MODULE = """
import atexit, os, sys

def halt():
    with open(os.environ["TEST_PIPE"]) as pipe:
        pipe.read()

class HaltingFinder:
    def find_spec(self, name, path=None, target=None):
        if name == os.environ["TEST_HALT_AT"]:
            halt()

if os.environ["TEST_HALT_AT"] == "exit":
    atexit.register(halt)
else:
    sys.meta_path.insert(0, HaltingFinder())
"""


async def open_for_writing(pipe: Path, process: asyncio.subprocess.Process) -> int:
    """Open a pipe for writing once the process has opened it for reading; return the descriptor."""
    while process.returncode is None:
        with suppress(OSError):  # the process has not opened the pipe yet
            return os.open(pipe, os.O_WRONLY | os.O_NONBLOCK)
        await asyncio.sleep(0.001)
    pytest.fail(f"the process ended with status {process.returncode}")


@dataclass(slots=True)
class HaltedProcess:
    """A router process that halts at a given point."""

    process: asyncio.subprocess.Process
    pipe: Path

    async def wait_until_halted(self) -> int:
        """Wait until the process has halted; return the descriptor to pass to `resume`."""
        return await open_for_writing(self.pipe, self.process)

    @staticmethod
    def resume(descriptor: int) -> None:
        """Let the process continue."""
        os.close(descriptor)

    def send_repeatedly(self, number: signal.Signals) -> None:
        """Send a signal `REPEATS` times without a pause."""
        for _ in range(REPEATS):
            send_signal(self.process, number)


@asynccontextmanager
async def halting_process(
    config: dict[str, Any], folder: Path, halt_at: str, monkeypatch: pytest.MonkeyPatch
) -> AsyncIterator[HaltedProcess]:
    """Run a router that halts when it imports the module `halt_at`; "exit" is the interpreter's exit."""
    pipe = folder / "pipe"
    os.mkfifo(pipe)
    (folder / "sitecustomize.py").write_text(HALTING_MODULE)
    monkeypatch.setenv("PYTHONPATH", f"{folder}{os.pathsep}{Path.cwd()}")
    monkeypatch.setenv("TEST_PIPE", str(pipe))
    monkeypatch.setenv("TEST_HALT_AT", halt_at)
    async with router_process(config, folder / "config.json") as process:
        yield HaltedProcess(process, pipe)


@pytest.mark.time_limit(PROCESS_TEST_TIMEOUT)
@pytest.mark.parametrize("module", ["cache_router.config", "asyncio", "cache_router.server"])
async def test_sighup_during_imports_leads_to_the_configuration_of_that_moment(
    module: str, clients: Clients, tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    async with Peer() as cache, Peer() as old, Peer() as new:
        config = config_with_cache(cache, old, "subscribe")
        async with halting_process(config, tmp_path, module, monkeypatch) as halted:
            descriptor = await halted.wait_until_halted()
            path = tmp_path / "config.json"
            path.write_bytes(orjson.dumps({**config, "discovery": new.address}))
            halted.send_repeatedly(signal.SIGHUP)
            halted.resume(descriptor)
            await new.accept_connection()
            await clients.connect_and_ping(await listen_address(halted.process.stderr))


@pytest.mark.time_limit(PROCESS_TEST_TIMEOUT)
async def test_sighup_after_the_configuration_was_read_leads_to_the_one_of_that_moment(
    clients: Clients, tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """The file is a pipe, so that the test knows when the program reads it."""
    path = tmp_path / "config.pipe"
    os.mkfifo(path)
    async with Peer() as cache, Peer() as old, Peer() as new:
        config = config_with_cache(cache, old, "subscribe")
        async with router_process(config, tmp_path / "config.json", config_path=path) as process:
            descriptor = await open_for_writing(path, process)
            process.send_signal(signal.SIGHUP)
            os.write(descriptor, orjson.dumps(config))
            os.close(descriptor)
            await old.accept_connection()  # the program has closed the file
            descriptor = await open_for_writing(path, process)  # the program opens the file to reload it
            os.write(descriptor, orjson.dumps({**config, "discovery": new.address}))
            os.close(descriptor)
            await new.accept_connection()
            await clients.connect_and_ping(await listen_address(process.stderr))


@pytest.mark.time_limit(PROCESS_TEST_TIMEOUT)
@pytest.mark.parametrize("module", ["cache_router.config", "cache_router.server"])
async def test_sigterm_during_imports_ends_the_program_with_the_status_of_a_shutdown(
    module: str, tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    async with Peer() as cache, Peer() as discovery:
        config = config_with_cache(cache, discovery, "subscribe")
        async with halting_process(config, tmp_path, module, monkeypatch) as halted:
            descriptor = await halted.wait_until_halted()
            halted.send_repeatedly(signal.SIGTERM)
            halted.resume(descriptor)
            await discard_log(halted.process.stderr)
            assert await halted.process.wait() == 0


@pytest.mark.time_limit(PROCESS_TEST_TIMEOUT)
@pytest.mark.parametrize("number", SIGNALS)
async def test_signals_at_the_exit_of_the_interpreter_change_no_status(
    number: signal.Signals, tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    async with Peer() as cache, Peer() as discovery:
        config = config_with_cache(cache, discovery, "subscribe")
        async with halting_process(config, tmp_path, "exit", monkeypatch) as halted:
            await listen_address(halted.process.stderr)
            halted.process.send_signal(signal.SIGTERM)
            descriptor = await halted.wait_until_halted()
            halted.send_repeatedly(number)
            halted.resume(descriptor)
            assert await halted.process.wait() == 0


@pytest.mark.time_limit(PROCESS_TEST_TIMEOUT)
@pytest.mark.parametrize("number", SIGNALS)
async def test_signals_in_series_during_a_shutdown_change_no_status(
    number: signal.Signals, tmp_path: Path
) -> None:
    async with Peer() as cache, Peer() as discovery:
        config = config_with_cache(cache, discovery, "subscribe")
        async with router_process(config, tmp_path / "config.json") as process:
            await listen_address(process.stderr)
            process.send_signal(signal.SIGTERM)
            log = asyncio.create_task(discard_log(process.stderr))
            while process.returncode is None:
                send_signal(process, number)
                await asyncio.sleep(0.003)
            assert process.returncode == 0
            await log
