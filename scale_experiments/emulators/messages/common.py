"""Replies that several emulators send."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(slots=True, frozen=True)
class Done:
    """A command was carried out; nothing else is said."""


@dataclass(slots=True, frozen=True, kw_only=True)
class ProcessUsage:
    """What a process uses: CPU seconds (user and system), resident bytes, descriptors; and the time."""

    at: float
    cpu_s: float
    resident_bytes: int
    descriptors: int
