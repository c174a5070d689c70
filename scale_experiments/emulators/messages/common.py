"""Replies that several emulators send."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(slots=True, frozen=True)
class Done:
    """The reply to a command that returns no data."""


@dataclass(slots=True, frozen=True, kw_only=True)
class ProcessUsage:
    """CPU time that a process has used since its start, and its current memory and descriptors."""

    at: float  # monotonic time at which the usage was read
    cpu_s: float  # user and system time
    resident_bytes: int
    descriptors: int  # number of open file descriptors
