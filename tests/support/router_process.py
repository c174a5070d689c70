"""The router as a separate process, and configurations for it."""

from __future__ import annotations

import asyncio
import os
import re
import resource
import signal
import sys
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager, suppress
from copy import deepcopy
from pathlib import Path
from typing import Any

import orjson

from cache_router.net.address import parse_address
from tests.support.endpoint_lists import ENDPOINT_ENTRY, peer_entry
from tests.support.loopback import Peer
from tests.support.settings_json import SETTINGS_JSON

PROCESS_TEST_TIMEOUT = 60.0  # seconds for a test that starts a process, which is slow on a busy machine
CACHED_LIST = {"index": 41, "snapshot": True, "endpoints": [ENDPOINT_ENTRY]}
VALID_CONFIG: dict[str, Any] = {
    "name": "n3",
    "listen": "127.0.0.1:6379",
    "discovery": "127.0.0.1:8500",
    "seed": "8c1f30d27a5be964",
    "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
    "known": CACHED_LIST,
    "settings": SETTINGS_JSON,
}


async def listen_address(log: asyncio.StreamReader | None) -> tuple[str, int]:
    """Read from the program's log the address at which it listens."""
    assert log is not None
    while (found := re.search(rb"listening on ([0-9.]+:\d+)", await log.readline())) is None:
        assert not log.at_eof()
    return parse_address(found[1].decode())


@asynccontextmanager
async def router_process(
    config: dict[str, Any], path: Path, descriptors: int | None = None, *, config_path: Path | None = None
) -> AsyncIterator[asyncio.subprocess.Process]:
    """Run the program with a configuration, which is written to `path`.

    `descriptors` is a limit on its file descriptors; `config_path` is a file that it reads instead of `path`.
    """
    path.write_bytes(orjson.dumps(config))

    def limit_descriptors() -> None:
        if descriptors is not None:
            resource.setrlimit(resource.RLIMIT_NOFILE, (descriptors, descriptors))

    process = await asyncio.create_subprocess_exec(
        sys.executable,
        "-m",
        "cache_router",
        env={**os.environ, "RELAY_CONFIG": str(config_path or path)},
        stderr=asyncio.subprocess.PIPE,
        preexec_fn=limit_descriptors,
    )
    try:
        yield process
    finally:
        if process.returncode is None:
            process.kill()
            await process.wait()


def config_with_cache(cache: Peer, discovery: Peer, mode: str) -> dict[str, Any]:
    """Return a configuration with one cache server in its cached endpoint list."""
    return {
        **VALID_CONFIG,
        "listen": "127.0.0.1:0",
        "discovery": discovery.address,
        "settings": {**deepcopy(SETTINGS_JSON), "membershipMode": mode},
        "known": {"index": 1, "snapshot": True, "endpoints": [peer_entry(ENDPOINT_ENTRY["name"], cache)]},
    }


def send_signal(process: asyncio.subprocess.Process, number: signal.Signals) -> None:
    """Send a signal to a process that may have ended already, for example after an earlier signal.

    `Process.send_signal` polls the process first, and may thereby reap the exit status for which asyncio
    waits in another thread. Asyncio then reports 255 instead of the actual status.
    """
    with suppress(ProcessLookupError):
        os.kill(process.pid, number)


async def read_log_until(process: asyncio.subprocess.Process, text: str) -> None:
    """Read the log of a process up to the next line that contains `text`."""
    assert process.stderr is not None
    while text not in (line := await process.stderr.readline()).decode():
        assert line, f"the log ended without {text!r}"


async def discard_log(log: asyncio.StreamReader | None) -> None:
    """Read the log of a process to its end, because the process would block once the pipe is full."""
    while log is not None and await log.readline():
        pass
