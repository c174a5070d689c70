"""What a change of the list costs a real router, a process of its own that watches a discovery.

The router is started by `run` of deploy/balancer.toml, after its `build` in a folder of the run. It has no
clients and its list is of caches that nobody runs, so that all its work is the list and its watch.
"""

from __future__ import annotations

import os
import socket
import statistics
import subprocess
import sys
import time
from collections.abc import Iterator, Mapping
from typing import Any

import numpy as np
import orjson
import psutil
from pydantic import BaseModel, ConfigDict, Field

from scale_experiments.context import ExperimentContext, Sample
from scale_experiments.cpu import process_cpu_s
from scale_experiments.emulators.control import ControlClient
from scale_experiments.emulators.messages.discovery import (
    ChangeList,
    DiscoveryStats,
    GetDiscoveryStats,
    Listening,
    ReplaceList,
)
from scale_experiments.endpoint_changes import DEFAULT_WEIGHT, DEFAULT_ZONES, ChangeSequence, build_entries
from scale_experiments.reference_work import measure_reference_cpu_s
from scale_experiments.router_process import build_router
from scale_experiments.scenarios import list_change

READY_TIMEOUT_S = 60.0
POLL_TIMEOUT_S = 30.0  # for a router to take a change and ask for the next
POLL_INTERVAL_S = 0.005
REPLY_TIMEOUT_S = 30.0


class Parameters(BaseModel):
    """What is the same at all sizes."""

    model_config = ConfigDict(extra="forbid")

    changes: int = Field(default=8, ge=1, le=1000, description="changes of each of five sorts")
    quiet_s: float = Field(
        default=12.0, gt=0, le=600, description="watched without a change; a call takes 3 s"
    )
    memory_mb: int = Field(default=192, ge=64, description="limit that the router is told")
    sockets: int = Field(default=1024, ge=64, description="descriptors that the router may hold")


class Size(BaseModel):
    """The columns of a size."""

    model_config = ConfigDict(extra="forbid")

    routers: int = Field(
        default=1, ge=1, strict=True, description="siblings, as the settings say; one is run"
    )
    caches: int = Field(
        ge=1, le=100_000, strict=True, description="page caches in the list, beside the origin"
    )
    changes_per_s: float = Field(ge=0, description="changes of the list a second")


METRICS = {
    "start_cpu_s": "CPU seconds of the router until it watches: program, list known and first list told",
    "process_change_cpu_s": "CPU seconds of the router for a change of one entry, with its call",
    "quiet_core_share": "share of one core that the watch takes without any change",
    "core_share": "share of one core that the watch and changes_per_s changes take, at most",
    "resident_bytes": "resident memory of the router after the first list",
    "most_resident_bytes": "resident memory of the router after the changes",
    "change_in_bytes": "bytes to the router for a change of one entry, headers counted, TCP's not",
    "change_out_bytes": "bytes from the router for a change of one entry, headers counted, TCP's not",
    "quiet_bytes_per_s": "bytes in both directions without any change, headers counted, TCP's not",
    "bytes_per_s": "bytes in both directions at changes_per_s, headers counted, TCP's not",
    "first_list_bytes": "bytes to the router until it is ready, headers counted, TCP's not",
    "reference_cpu_s": list_change.METRICS["reference_cpu_s"],
}
SETTINGS = {
    "classes": [{"name": "page-read", "aim": 0.3, "giveUp": 1.2, "effect": "free"}],
    "familyInfo": {"mode": "aside", "originKind": 1},
    "skus": ["std-1c", "origin"],
    "membershipMode": "subscribe",
    "weights": "nominal",
}


def start_router(
    context: ExperimentContext, parameters: Parameters, configuration: dict[str, Any]
) -> subprocess.Popen[bytes]:
    """A router that has answered `+PONG`; `configuration` is the rest of its configuration.

    Raises RuntimeError where it is not ready in time.
    """
    folder, command = build_router(context)
    with socket.socket() as probe:  # a port that is free now
        probe.bind(("127.0.0.1", 0))
        listen = probe.getsockname()
    config = {
        "name": "n0",
        "listen": "{}:{}".format(*listen),
        "limits": {"cores": 1.0, "memory_mb": parameters.memory_mb, "sockets": parameters.sockets},
        **configuration,
    }
    path = context.folder / "router.json"
    path.write_bytes(orjson.dumps(config))
    log = context.folder / "router.log"
    with log.open("wb") as output:
        process = context.spawn(
            ["/bin/sh", "-c", f"ulimit -n {parameters.sockets}; {command}"],
            cwd=folder,
            env={**os.environ, "RELAY_CONFIG": str(path)},
            stdout=output,
            stderr=output,
        )
    deadline = time.monotonic() + READY_TIMEOUT_S
    while time.monotonic() < deadline and process.poll() is None:
        try:
            with socket.create_connection(listen, 1.0) as client:
                client.sendall(b"*1\r\n$4\r\nPING\r\n")
                if client.recv(64) == b"+PONG\r\n":
                    return process
        except OSError:
            pass
        time.sleep(0.05)
    raise RuntimeError(f"the router is not ready: {log.read_text(errors='replace')[-300:]}")


def wait_until_polled(discovery: ControlClient) -> DiscoveryStats:
    """Wait until the router has the latest change, and waits for the next; discovery's counts then."""
    deadline = time.monotonic() + POLL_TIMEOUT_S
    while time.monotonic() < deadline:
        stats = discovery.request(GetDiscoveryStats())
        if stats.waiting == 1 and stats.open == 1:
            return stats
        time.sleep(POLL_INTERVAL_S)
    raise RuntimeError(f"the router has not asked again within {POLL_TIMEOUT_S:g} s: {stats}")


def measure(
    parameters: Parameters, size: Mapping[str, float], seed: int, context: ExperimentContext
) -> Iterator[Sample]:
    """One sample; CPU seconds are the router's alone. Raises RuntimeError where it does not start or hear."""
    changes_per_s = float(size["changes_per_s"])
    rng = np.random.default_rng(seed)
    entries = build_entries(int(size["caches"]), DEFAULT_ZONES, DEFAULT_WEIGHT, rng)
    references = [measure_reference_cpu_s()]
    context.progress("start")
    pipes = {"stdin": subprocess.PIPE, "stdout": subprocess.PIPE}
    emulator = context.spawn(
        [sys.executable, "-m", "scale_experiments.emulators.discovery", "127.0.0.1:0"], **pipes
    )
    discovery = ControlClient(emulator, "discovery", REPLY_TIMEOUT_S)
    address = discovery.receive(Listening).address
    discovery.request(ReplaceList(2, entries))
    cached_list = {"index": 1, "snapshot": True, "endpoints": entries}
    configuration = {
        "discovery": address,
        "seed": f"{seed:016x}",
        "known": cached_list,
        "settings": {**SETTINGS, "siblings": int(size.get("routers", 1))},
    }
    router = start_router(context, parameters, configuration)
    started = wait_until_polled(discovery)
    start_cpu_s = process_cpu_s(router.pid)
    resident = psutil.Process(router.pid).memory_info().rss

    context.progress("quiet")
    before, cpu_before = started, start_cpu_s
    time.sleep(parameters.quiet_s)
    after, cpu_after = wait_until_polled(discovery), process_cpu_s(router.pid)
    seconds = after.at - before.at
    quiet_cpu = (cpu_after - cpu_before) / seconds
    quiet_bytes = (after.bytes_in - before.bytes_in + after.bytes_out - before.bytes_out) / seconds

    context.progress("changes")
    # each comes before the call is over that waits for it, so that nothing of quiet is among what they cost;
    # those that only undo one are counted as well
    count = 0
    before, cpu_before = after, cpu_after
    for index, (_, text) in enumerate(ChangeSequence(entries, rng, parameters.changes), 3):
        discovery.request(ChangeList(index, orjson.loads(text)["endpoints"]))
        after = wait_until_polled(discovery)
        count += 1
    cpu_after = process_cpu_s(router.pid)
    change_cpu = (cpu_after - cpu_before) / count
    # discovery's bytes in are the router's out
    change_out = (after.bytes_in - before.bytes_in) / count
    change_in = (after.bytes_out - before.bytes_out) / count
    most_resident = psutil.Process(router.pid).memory_info().rss
    references.append(measure_reference_cpu_s())
    context.stop(router)
    context.stop(emulator)
    yield Sample(
        {
            "start_cpu_s": start_cpu_s,
            "process_change_cpu_s": change_cpu,
            "quiet_core_share": quiet_cpu,
            "core_share": quiet_cpu + changes_per_s * change_cpu,
            "resident_bytes": float(resident),
            "most_resident_bytes": float(most_resident),
            "change_in_bytes": change_in,
            "change_out_bytes": change_out,
            "quiet_bytes_per_s": quiet_bytes,
            "bytes_per_s": quiet_bytes + changes_per_s * (change_in + change_out),
            "first_list_bytes": float(started.bytes_out),
            "reference_cpu_s": statistics.fmean(references),
        }
    )
