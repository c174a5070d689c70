"""The router's process in a soak test: its configuration, starts, signals and log."""

from __future__ import annotations

import asyncio
import os
import signal
import sys
from contextlib import suppress
from pathlib import Path
from typing import Any

import hiredis
import orjson

from tests.soak.network import Network
from tests.soak.observations import Lifetime, Observations
from tests.soak.plan import Plan, SignalSeries
from tests.support.router_process import send_signal

READY_POLL_INTERVAL = 0.05  # seconds between two PINGs that test whether the router is ready
ALTERNATION_COUNT = 6  # changes of the address after the first one
ALTERNATION_INTERVAL = 0.02  # seconds between two changes of the address
PYTHON_START_TIMEOUT = 1.0  # seconds to wait until the program blocks or handles SIGHUP
SIGNAL_MASK_FIELDS = ("SigBlk", "SigCgt")  # masks of the blocked and the handled signals in /proc/PID/status
SIGHUP_BIT = 1 << (signal.SIGHUP - 1)
SIGNAL_REPEAT_INTERVAL = 0.003  # seconds; short enough for signals to arrive in each phase of a shutdown
UNUSABLE_SERIES = (SignalSeries.MALFORMED, SignalSeries.MISSING)
MALFORMED = b'{"listen":'


class RouterProcess:
    """The router's process, and its configuration file in a directory of its own."""

    def __init__(
        self,
        plan: Plan,
        *,
        network: Network,
        folder: Path,
        cached_list: dict[str, Any],
        observations: Observations,
        fault: str,
    ) -> None:
        """Write the configuration; `fault` is a key of `tests.soak.faults.FAULTS`, empty for none."""
        self._network = network
        self._path = folder / "config.json"
        self._observations = observations
        self._fault = fault
        self._system_call_seed = plan.seed if plan.with_system_call_faults else None
        self._discovery_index = 0
        self._process: asyncio.subprocess.Process | None = None
        self._log_reader: asyncio.Task[None] | None = None
        self._now = asyncio.get_running_loop().time
        self._config: dict[str, Any] = {
            "listen": _format_address(network.router),
            "discovery": _format_address(network.discovery(0)),
            "seed": f"{plan.seed:x}",
            "limits": {"sockets": plan.descriptors, "memory_mb": 192},
            "known": cached_list,
            "settings": plan.settings,
        }
        self.write_config()

    @property
    def lifetime(self) -> Lifetime:
        """Lifetime of the process that was started last."""
        return self._observations.lifetimes[-1]

    @property
    def process_id(self) -> int:
        """Id of the process."""
        assert self._process is not None
        return self._process.pid

    def write_config(self) -> None:
        """Replace the content of the file with the configuration."""
        self._replace_file(orjson.dumps(self._config))

    def _replace_file(self, text: bytes) -> None:
        temporary = self._path.with_suffix(".new")
        temporary.write_bytes(text)
        temporary.replace(self._path)

    async def start(self) -> None:
        """Start a process, and wait until it blocks or handles SIGHUP, at most PYTHON_START_TIMEOUT."""
        module = ["-m", "cache_router"]
        if self._fault:
            module = ["-m", "tests.soak.faults", self._fault]
        elif self._system_call_seed is not None:
            module = ["-m", "tests.soak.system_call_faults", str(self._system_call_seed)]
        self._process = await asyncio.create_subprocess_exec(
            sys.executable,
            *module,
            env={**os.environ, "RELAY_CONFIG": str(self._path)},
            stderr=asyncio.subprocess.PIPE,
        )
        self._observations.lifetimes.append(Lifetime(self._now()))
        self._log_reader = asyncio.create_task(self._read_log(self._process))
        with suppress(TimeoutError):
            async with asyncio.timeout(PYTHON_START_TIMEOUT):
                await self._wait_until_sighup_is_masked_or_handled()

    async def _wait_until_sighup_is_masked_or_handled(self) -> None:
        """Wait until the program blocks or handles SIGHUP.

        While Python itself starts, the program cannot prevent a signal from ending the process. The operators
        guarantee that they send none before the router is ready.
        """
        status = Path(f"/proc/{self.process_id}/status")
        while self._is_running():
            masks = [
                line.split()[1]
                for line in status.read_text().splitlines()
                if line.startswith(SIGNAL_MASK_FIELDS)
            ]
            if any(int(mask, 16) & SIGHUP_BIT for mask in masks):
                return
            await asyncio.sleep(0.002)

    async def _read_log(self, process: asyncio.subprocess.Process) -> None:
        assert process.stderr is not None
        while line := await process.stderr.readline():
            self._observations.log.append(line.decode(errors="replace").rstrip())

    async def wait_until_ready(self) -> None:
        """Wait until the process replies to a PING, or ends."""
        while self.lifetime.ready_at is None and self._is_running():
            try:
                reader, writer = await asyncio.open_connection(*self._network.router)
                writer.write(bytes(hiredis.pack_command(("PING",))))
                if (await reader.read(100)).startswith(b"+PONG"):
                    self.lifetime.ready_at = self._now()
                writer.transport.abort()
            except OSError:
                pass
            await asyncio.sleep(READY_POLL_INTERVAL)

    def _is_running(self) -> bool:
        return self._process is not None and self._process.returncode is None

    def send(self, number: signal.Signals) -> None:
        """Send a signal if the process is still running, and record the time of a SIGHUP."""
        if self._process is not None and self._is_running():
            send_signal(self._process, number)
            if number is signal.SIGHUP:
                self._observations.sighup_times.append(self._now())

    async def send_sighup_series(self, series: SignalSeries) -> None:
        """Change the file according to the series, and send SIGHUP after each change.

        A process that starts with an unusable file correctly exits with status 2. The file therefore stays
        usable until the process is ready.
        """
        if self.lifetime.ready_at is None and series in UNUSABLE_SERIES:
            series = SignalSeries.SAME
        match series:
            case SignalSeries.MALFORMED:
                self._replace_file(MALFORMED)
            case SignalSeries.MISSING:
                self._path.unlink(missing_ok=True)
            case SignalSeries.NEW | SignalSeries.ALTERNATING:
                self._change_discovery()
        self.send(signal.SIGHUP)
        if series is SignalSeries.ALTERNATING:
            for _ in range(ALTERNATION_COUNT):
                await asyncio.sleep(ALTERNATION_INTERVAL)
                self._change_discovery()
                self.send(signal.SIGHUP)
        if series in UNUSABLE_SERIES:
            await asyncio.sleep(0.2)  # leaves the router time to read the file
            self.write_config()

    def _change_discovery(self) -> None:
        self._discovery_index = 1 - self._discovery_index
        self._config["discovery"] = _format_address(self._network.discovery(self._discovery_index))
        self.write_config()

    async def terminate(self, sigkill_after: float) -> None:
        """Send SIGTERM, and SIGKILL if the process still runs after `sigkill_after` seconds.

        Throughout the shutdown SIGTERM and SIGHUP are sent again and again, and must not disturb it.
        """
        assert self._process is not None
        assert self._log_reader is not None
        self.lifetime.terminated_at = self._now()
        self.send(signal.SIGTERM)
        repeated_signals = asyncio.create_task(self._repeat_signals())
        try:
            async with asyncio.timeout(sigkill_after):
                await self._process.wait()
        except TimeoutError:
            self.lifetime.was_killed = True
            self._process.kill()
            await self._process.wait()
        repeated_signals.cancel()
        self.lifetime.ended_at = self._now()
        self.lifetime.exit_status = self._process.returncode
        await self._log_reader

    async def _repeat_signals(self) -> None:
        while self._is_running():
            await asyncio.sleep(SIGNAL_REPEAT_INTERVAL)
            self.send(signal.SIGTERM)
            self.send(signal.SIGHUP)

    def kill(self) -> None:
        """Send SIGKILL to the process if it is still running."""
        if self._process is not None and self._is_running():
            self._process.kill()


def _format_address(address: tuple[str, int]) -> str:
    return f"{address[0]}:{address[1]}"
