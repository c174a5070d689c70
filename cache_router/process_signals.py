"""Holds back the signals that operators send, while the program cannot act on them.

A blocked signal stays pending in the kernel. It has its effect once it is released, and none if the process
ends before. Without this, a signal at the start or at the end has its default effect, and ends the process.
"""

from __future__ import annotations

import signal

OPERATOR_SIGNALS = frozenset({signal.SIGHUP, signal.SIGTERM, signal.SIGINT})


def hold_signals() -> None:
    """Block the operators' signals in this thread, and in those that it starts from now on."""
    signal.pthread_sigmask(signal.SIG_BLOCK, OPERATOR_SIGNALS)


def release_signals() -> None:
    """Let pending and future signals reach their handlers."""
    signal.pthread_sigmask(signal.SIG_UNBLOCK, OPERATOR_SIGNALS)
