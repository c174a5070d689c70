"""Builds the router and starts processes of it, with the commands of `deploy/balancer.toml`."""

from __future__ import annotations

import os
import shutil
import socket
import subprocess
import time
import tomllib
from dataclasses import dataclass
from pathlib import Path
from typing import Any

import orjson

from scale_experiments.emulators.address import format_address, parse_address
from scale_experiments.endpoint_lists.endpoint_entries import EndpointList
from scale_experiments.runs.context import ExperimentContext

ROOT = Path(__file__).parents[2]
ROUTER_SOURCES = ("cache_router", "deploy", "requirements.txt")
BUILD_TIMEOUT_S = 300.0
CONNECT_TIMEOUT_S = 1.0
READY_POLL_INTERVAL_S = 0.05
LOG_EXCERPT_LENGTH = 300  # characters from the end of a log that an error text includes


class RouterStartError(RuntimeError):
    """The router could not be built, or a router process did not become ready in time."""


@dataclass(slots=True, frozen=True, kw_only=True)
class RouterConfiguration:
    """Content of a router's configuration file, without the address on which the router listens."""

    name: str
    discovery: str  # address of discovery, as host:port
    seed: int
    memory_mb: int
    descriptors: int  # limit of open descriptors, in the configuration file and in the process (ulimit -n)
    cached_list: EndpointList
    settings: dict[str, Any]  # settings in the form of the configuration file

    def encoded(self, listen: str) -> bytes:
        """Return the content of the file for a router that listens on `listen` (host:port)."""
        return orjson.dumps(
            {
                "name": self.name,
                "listen": listen,
                "discovery": self.discovery,
                "seed": f"{self.seed:016x}",
                "limits": {"cores": 1.0, "memory_mb": self.memory_mb, "sockets": self.descriptors},
                "known": self.cached_list,
                "settings": self.settings,
            }
        )


@dataclass(slots=True, frozen=True)
class RouterProcess:
    """A started router process."""

    process: subprocess.Popen[bytes]
    address: str  # address on which the router listens, as host:port
    log: Path


@dataclass(slots=True, frozen=True)
class RouterBuild:
    """A copy of the program, built as for a deployment, and the shell command that runs it in its folder."""

    folder: Path
    run_command: str


def build_router(context: ExperimentContext) -> RouterBuild:
    """Copy the program to the folder of the run and build it there, once in each run.

    Raises:
        RouterStartError: The build exited with a status other than 0.
        subprocess.TimeoutExpired: The build did not finish within `BUILD_TIMEOUT_S`, or before the time limit
            of the run.
    """
    deploy = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())
    folder = context.folder / "router"
    if not folder.exists():
        context.progress("build")
        _copy_sources(folder)
        _run_build(context, folder, deploy["build"])
    return RouterBuild(folder, deploy["run"])


def _copy_sources(folder: Path) -> None:
    folder.mkdir()
    for name in ROUTER_SOURCES:
        if (ROOT / name).is_dir():
            shutil.copytree(ROOT / name, folder / name, ignore=shutil.ignore_patterns("__pycache__"))
        else:
            shutil.copy(ROOT / name, folder / name)


def _run_build(context: ExperimentContext, folder: Path, command: str) -> None:
    log = folder / "build.log"
    with log.open("wb") as output:
        process = context.spawn(["/bin/sh", "-c", command], cwd=folder, stdout=output, stderr=output)
        status = process.wait(min(BUILD_TIMEOUT_S, context.remaining_s()))
    if status:
        raise RouterStartError(
            f"router build exited with status {status}: {log.read_text()[-LOG_EXCERPT_LENGTH:]}"
        )


def start_router(context: ExperimentContext, configuration: RouterConfiguration, host: str) -> RouterProcess:
    """Build the router if necessary, and start it on a free port of `host`.

    The process gets the descriptor limit of its configuration. Raises what `build_router` raises, and OSError
    if the process cannot be started.
    """
    build = build_router(context)
    listen = _free_address(host)
    path = context.folder / f"router-{configuration.name}.json"
    path.write_bytes(configuration.encoded(listen))
    variables = {
        "RELAY_CONFIG": str(path),
        "RELAY_NAME": configuration.name,
        "RELAY_LISTEN": listen,
        "RELAY_DISCOVERY": configuration.discovery,
    }
    log = path.with_suffix(".log")
    with log.open("wb") as output:
        process = context.spawn(
            ["/bin/sh", "-c", f"ulimit -n {configuration.descriptors}; {build.run_command}"],
            cwd=build.folder,
            env={**os.environ, **variables},
            stdout=output,
            stderr=output,
        )
    return RouterProcess(process, listen, log)


def _free_address(host: str) -> str:
    with socket.socket() as probe:
        probe.bind((host, 0))
        return format_address(probe.getsockname())


def wait_until_ready(router: RouterProcess, timeout_s: float) -> None:
    """Wait until a router replies to a PING.

    Raises:
        RouterStartError: The process exited, or did not reply within `timeout_s`.
    """
    host, port = parse_address(router.address)
    deadline = time.monotonic() + timeout_s
    while time.monotonic() < deadline and router.process.poll() is None:
        if _answers_ping(host, port):
            return
        time.sleep(READY_POLL_INTERVAL_S)
    excerpt = router.log.read_text(errors="replace")[-LOG_EXCERPT_LENGTH:]
    raise RouterStartError(
        f"router at {router.address} exited or did not reply within {timeout_s:g} s: {excerpt}"
    )


def _answers_ping(host: str, port: int) -> bool:
    try:
        with socket.create_connection((host, port), CONNECT_TIMEOUT_S) as client:
            client.sendall(b"*1\r\n$4\r\nPING\r\n")
            return client.recv(64) == b"+PONG\r\n"
    except OSError:
        return False
