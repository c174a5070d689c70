"""The context of a run: its folder, the processes that it starts, and its time limit."""

from __future__ import annotations

import contextlib
import os
import shutil
import signal
import subprocess
import tempfile
import time
from collections.abc import Callable, Iterator, Sequence
from pathlib import Path
from types import TracebackType
from typing import Any, Self

TERMINATION_GRACE_S = 5.0  # time from SIGTERM to SIGKILL, shared by all processes of a run


class TimeLimitInterrupt(KeyboardInterrupt):
    """Raised when the run has reached its time limit.

    It derives from KeyboardInterrupt, so that event loops and broad exception handlers let it pass, as they
    let Ctrl-C pass.
    """


class ExperimentContext:
    """The folder, the processes and the time limit of one run.

    On exit, all processes that the run has started are terminated by process id, and its folder is removed.
    """

    def __init__(self, time_limit_s: float, report_progress: Callable[[str], None] = lambda _: None) -> None:
        self.deadline = time.monotonic() + time_limit_s
        self.report_progress = report_progress
        self.folder = Path(tempfile.mkdtemp(prefix="scale_experiments-"))
        self.processes: list[subprocess.Popen[bytes]] = []
        self.shield_depth = 0  # number of nested `shielded` blocks; an interruption is deferred until it is 0
        self.interruption: KeyboardInterrupt | None = None

    def interrupt(self, error: KeyboardInterrupt) -> None:
        """Interrupt the run, from a signal handler.

        Only the first call has an effect. Raises `error`, or defers it to the end of a `shielded` block: a
        process that is being started is registered first, so that it is terminated with the run.
        """
        if self.interruption is None:
            self.interruption = error
            if not self.shield_depth:
                raise error

    @contextlib.contextmanager
    def shielded(self) -> Iterator[None]:
        """Defer an interruption to the end of the block, where it is raised."""
        interruption_on_entry = self.interruption
        self.shield_depth += 1
        try:
            yield
        finally:
            self.shield_depth -= 1
        if not self.shield_depth and self.interruption is not None and interruption_on_entry is None:
            raise self.interruption

    def __enter__(self) -> Self:
        return self

    def __exit__(
        self, kind: type[BaseException] | None, error: BaseException | None, trace: TracebackType | None
    ) -> None:
        self.close()

    def progress(self, activity: str) -> None:
        """Report the current activity of the run to the user."""
        self.report_progress(activity)

    def remaining_s(self) -> float:
        """Return the seconds until the run's time limit, or 0 after it."""
        return max(0.0, self.deadline - time.monotonic())

    def expired(self) -> bool:
        """Return whether the time limit of the run has passed."""
        return self.remaining_s() <= 0

    def spawn(self, args: Sequence[str], **popen_options: Any) -> subprocess.Popen[bytes]:
        """Start a process in a session and process group of its own.

        Ctrl-C therefore doesn't signal it: the run terminates it on exit. Keyword arguments are passed to
        `subprocess.Popen`. Raises OSError if the process can't be started.
        """
        popen_options.setdefault("stdin", subprocess.DEVNULL)
        with self.shielded():
            process: subprocess.Popen[bytes] = subprocess.Popen(args, start_new_session=True, **popen_options)
            self.processes.append(process)
        return process

    def stop(self, process: subprocess.Popen[bytes], grace_s: float = TERMINATION_GRACE_S) -> None:
        """Terminate a process and its process group, and reap it, unless it has exited already.

        It receives SIGTERM, and SIGKILL if it still runs after `grace_s` seconds.
        """
        self._stop([process], grace_s)

    def close(self) -> None:
        """Terminate all processes and remove the folder; later interruptions are ignored.

        The processes have `TERMINATION_GRACE_S` seconds together before those that still run are killed.
        """
        self.shield_depth += 1
        self._stop(self.processes, TERMINATION_GRACE_S)
        shutil.rmtree(self.folder, ignore_errors=True)

    def _stop(self, processes: Sequence[subprocess.Popen[bytes]], grace_s: float) -> None:
        running = [p for p in processes if p.poll() is None]
        for process in running:
            _signal_group(process, signal.SIGTERM)
        deadline = time.monotonic() + grace_s
        for process in running:
            try:
                process.wait(max(0.0, deadline - time.monotonic()))
            except subprocess.TimeoutExpired:
                _signal_group(process, signal.SIGKILL)
                process.wait()
        for process in processes:
            for stream in (process.stdin, process.stdout, process.stderr):
                if stream is not None:
                    stream.close()
        stopped_ids = set(map(id, processes))
        self.processes = [p for p in self.processes if id(p) not in stopped_ids]


def _signal_group(process: subprocess.Popen[bytes], signal_number: signal.Signals) -> None:
    """Signal a process group, unless its leader has been reaped: its id may have been reused since."""
    if process.returncode is None:
        with contextlib.suppress(ProcessLookupError):
            os.killpg(process.pid, signal_number)
