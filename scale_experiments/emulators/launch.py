"""Starts emulators as processes of an experiment's run."""

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
    """Start a module as a process, which is stopped when the context is closed, unless it has exited before.

    `name` identifies the emulator in errors, `arguments` are its command-line arguments.

    Raises:
        OSError: The process cannot be started.
    """
    process = context.spawn(
        [sys.executable, "-m", module, *arguments], stdin=subprocess.PIPE, stdout=subprocess.PIPE
    )
    return ControlClient(process, name, reply_timeout_s)
