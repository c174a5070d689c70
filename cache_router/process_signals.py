"""Blocks the signals that operators send while the program cannot handle them.

A blocked signal stays pending in the kernel. It takes effect once it is unblocked, and has no effect if the
process exits before that. Without blocking, a signal during startup or exit has its default effect, which
terminates the process.
"""

from __future__ import annotations

import signal

OPERATOR_SIGNALS = frozenset({signal.SIGHUP, signal.SIGTERM, signal.SIGINT})


def block_signals() -> None:
    """Block the operators' signals in this thread and in every thread that it starts from now on."""
    signal.pthread_sigmask(signal.SIG_BLOCK, OPERATOR_SIGNALS)


def unblock_signals() -> None:
    """Unblock the operators' signals, so that pending and future ones reach their handlers."""
    signal.pthread_sigmask(signal.SIG_UNBLOCK, OPERATOR_SIGNALS)
