"""Replies that several emulators send."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(slots=True, frozen=True)
class Done:
    """The reply of a command that returns nothing."""


@dataclass(slots=True, frozen=True, kw_only=True)
class ProcessUsage:
    """What a process has used since its start, and what it uses now."""

    at: float  # when this was read, of the monotonic clock
    cpu_s: float  # user and system
    resident_bytes: int
    descriptors: int
