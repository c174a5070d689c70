"""Starts emulators as processes of a run."""

from __future__ import annotations

import subprocess
import sys

from scale_experiments.emulators.control import ControlClient
from scale_experiments.runs.context import ExperimentContext

CACHES_MODULE = "scale_experiments.emulators.cache"
CLIENTS_MODULE = "scale_experiments.emulators.clients"
DISCOVERY_MODULE = "scale_experiments.emulators.discovery"
HOLLOW_ROUTERS_MODULE = "scale_experiments.routers.hollow"
DEFAULT_REPLY_TIMEOUT_S = 30.0


def start_emulator(
    context: ExperimentContext,
    name: str,
    module: str,
    *arguments: str,
    reply_timeout_s: float = DEFAULT_REPLY_TIMEOUT_S,
) -> ControlClient:
    """Start a module as a process, which ends with the context at the latest.

    `name` is the emulator's name in errors, `arguments` are those of its command.

    Raises:
        OSError: The process cannot be started.
    """
    process = context.spawn(
        [sys.executable, "-m", module, *arguments], stdin=subprocess.PIPE, stdout=subprocess.PIPE
    )
    return ControlClient(process, name, reply_timeout_s)
