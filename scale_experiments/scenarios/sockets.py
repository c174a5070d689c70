"""Connections and handshakes between real routers and page caches, and what they cost a router.

A few routers are started by `run` of deploy/balancer.toml, after its `build` in a folder of the run, with the
limits of a deployment, against page caches at an address each and a load of clients. CPU is of the routers'
processes. `siblings` is the size of the fleet as the settings tell it: it sets for how long connections stay.
"""

from __future__ import annotations

import os
import socket
import subprocess
import sys
import time
from collections.abc import Iterator, Mapping
from dataclasses import dataclass
from pathlib import Path
from typing import Any, Literal

import orjson
import psutil
from hdrh.histogram import HdrHistogram
from pydantic import BaseModel, ConfigDict, Field

from scale_experiments.context import ExperimentContext, Sample
from scale_experiments.emulators.control import ControlClient
from scale_experiments.emulators.messages.caches import CachesStats, GetCachesStats, SetCacheMode, StartCaches
from scale_experiments.emulators.messages.clients import ClientsStats, GetClientsStats, StartClients
from scale_experiments.emulators.messages.discovery import Listening, ReplaceList
from scale_experiments.reference_work import measure_reference_cpu_s
from scale_experiments.router_process import build_router

READY_TIMEOUT_S = 30.0
REPLY_TIMEOUT_S = 60.0
CACHE_PORT = 6379
CACHE_COUNTERS = ("accepted", "requests", "hits", "rejected", "open_sum")


class Parameters(BaseModel):
    """What is the same at all sizes."""

    model_config = ConfigDict(extra="forbid")

    memory_mb: int = Field(192, ge=16, le=4096, description="limit told to a router")
    sockets: int = Field(1024, ge=64, le=16384, description="limit of descriptors, told to a router and set")
    warm_s: float = Field(5.0, ge=0, le=300, description="of load before it is measured")
    measure_s: float = Field(15.0, gt=0, le=600, description="of load that is measured")
    keys: int = Field(100_000, ge=1, le=10_000_000, description="that clients ask for")
    zipf: float = Field(0.9, ge=0, le=3, description="exponent of the keys' popularity")
    write_share: float = Field(0.0, ge=0, le=1, description="of requests")
    value_bytes: int = Field(1024, ge=0, le=65536, description="of each value")
    warm: bool = Field(True, description="caches hold every key at first; else none")
    service_s: float = Field(0.005, ge=0, le=10, description="of a request at a cache")
    handshake_s: float = Field(0.002, ge=0, le=10, description="more for the first request on a connection")
    idle_s: float = Field(10.0, gt=0, le=600, description="after which a cache closes an idle connection")
    most_connections: int = Field(750, ge=1, le=100_000, description="that one cache serves")
    origin_service_s: float = Field(0.05, ge=0, le=10, description="of a fetch")
    origin_most_at_once: int = Field(200, ge=1, le=100_000, description="fetches in hand at the origin")
    connection_price: float = Field(0.05, ge=0, le=10, description="of 100 open connections at every cache")
    handshake_price: float = Field(0.05, ge=0, le=10, description="of a new connection for every request")
    fault: Literal["dead", "hang", "drain"] = Field(
        "dead", description="of the caches that a size names as faulty; the list does not tell it"
    )
    fault_s: float = Field(5.0, gt=0, le=600, description="of the fault, from where measuring begins")


SIZES = {
    "routers": "real ones",
    "caches": "page caches",
    "requests_per_s": "at each router",
    "siblings": "routers in all, as the settings tell",
}  # and, where some are to fail, `faulty`: page caches that do
METRICS = {
    "requests_per_s": "requests that clients sent, all routers",
    "served_share": "requests served, of those that ended",
    "refused_share": "requests refused, of those that ended",
    "lost_share": "requests failed, unanswered or lost with their connection, of those that ended",
    "latency_p50_s": "of served requests, from when they were due",
    "latency_p99_s": "of served requests, from when they were due",
    "attempts_per_request": "requests at caches for each one of a client",
    "handshakes_per_request": "new connections to caches for each request of a client",
    "handshakes_per_cache_per_s": "new connections at a cache",
    "open_per_cache": "open connections at a cache, mean over time and caches",
    "open_per_cache_per_router": "the same for each router",
    "most_open_at_a_cache": "open connections at the cache that had the most, at its peak since the start",
    "open_to_caches_per_router": "open connections of a router to caches, mean over time",
    "caches_met_share": "caches that had a request while it was measured",
    "fullest_cache_share": "requests of the cache that had the most, of an even share",
    "hit_share": "attempts at caches that found the key",
    "busy_per_request": "attempts that caches turned away for each request of a client",
    "origin_per_request": "requests at the origin for each one of a client",
    "router_cpu_per_request_s": "CPU seconds of a router for a request of a client, all that it does",
    "router_cpu_share": "cores that a router uses",
    "router_resident_bytes": "resident memory of a router at the end, mean",
    "router_most_resident_bytes": "the most resident memory of a router since its start",
    "router_descriptors": "descriptors of a router at the end, mean",
    "client_connections_per_router": "open connections of clients to a router at the end",
    "client_connections_per_request": "connections that clients opened for each request",
    "reference_cpu_s": "CPU seconds of a fixed piece of work, by which to compare differently busy machines",
    "load": "processes that wanted a core of this machine in the last minute, at the end of the sample",
}


def cache_entries(caches: int) -> list[dict[str, Any]]:
    """Page caches in discovery's form, at an address each."""
    return [
        {
            "name": f"s-{i:08x}",
            "address": f"127.2.{i // 250}.{i % 250 + 1}:{CACHE_PORT}",
            "zone": "a",
            "type": "std",
            "group": i // 8,
            "status": "in_service",
            "weight": 1.0,
            "since_ms": 0,
        }
        for i in range(caches)
    ]


def settings(parameters: Parameters, siblings: int) -> dict[str, Any]:
    """The settings of a site, in the form that a router is told."""
    return {
        "classes": [
            {"name": "read", "aim": 0.5, "giveUp": 2.0, "effect": "free", "value": 1.0},
            {
                "name": "put",
                "aim": 1.0,
                "giveUp": 2.0,
                "effect": "guarded",
                "group": "all",
                "repeatWindow": 10.0,
            },
        ],
        "family": "cache",
        "familyInfo": {"mode": "aside", "originKind": 1},
        "skus": ["std", "origin"],
        "limits": {
            "connIdle": parameters.idle_s,
            "dialTimeout": 0.35,
            "maxRetryAfter": 1.2,
            "mayCancel": True,
            "mostTries": 4,
            "secondCopies": True,
        },
        "loadReport": {"fields": ["svc_ms", "pending"], "how": "piggyback"},
        "membershipMode": "automatic",
        "penalties": {"connection": parameters.connection_price, "handshake": parameters.handshake_price},
        "resolution": 0.005,
        "rules": {"coldFrom": 0.32, "overloadFor": 1.0, "rampTime": 9.0, "stopSendingWithin": 0.5},
        "siblings": siblings,
        "weights": "silent",
    }


@dataclass(slots=True, frozen=True)
class Usage:
    """Counts of caches and clients since the start, and CPU seconds of all routers."""

    caches: CachesStats
    clients: ClientsStats
    router_cpu_s: float


class Deployment:
    """The processes of one sample."""

    def __init__(
        self, parameters: Parameters, size: Mapping[str, float], seed: int, context: ExperimentContext
    ) -> None:
        self.parameters = parameters
        self.size = size
        self.seed = seed
        self.context = context
        self.processes: list[subprocess.Popen[bytes]] = []
        self.routers: list[psutil.Process] = []
        self.addresses: list[str] = []

    def _start_emulator(self, name: str, *args: str) -> ControlClient:
        pipes = {"stdin": subprocess.PIPE, "stdout": subprocess.PIPE}
        process = self.context.spawn(
            [sys.executable, "-m", f"scale_experiments.emulators.{name}", *args], **pipes
        )
        self.processes.append(process)
        return ControlClient(process, name, REPLY_TIMEOUT_S)

    def start(self) -> None:
        """Start caches, discovery, routers and, once these are ready, the load."""
        p = self.parameters
        folder, command = build_router(self.context)
        entries = cache_entries(int(self.size["caches"]))
        self.caches = self._start_emulator("cache")
        origin = self.caches.request(
            StartCaches(
                addresses={e["name"]: e["address"] for e in entries},
                origin="127.3.0.1:0",
                max_keys=p.keys,
                value_bytes=p.value_bytes,
                service_s=p.service_s,
                handshake_s=p.handshake_s,
                idle_s=p.idle_s,
                max_connections=p.most_connections,
                warm=p.warm,
                origin_service_s=p.origin_service_s,
                origin_max_concurrent=p.origin_most_at_once,
            )
        ).origin
        entries.append({**entries[0], "name": "origin", "address": origin, "type": "origin"})
        cached_list = {"index": 1, "snapshot": True, "endpoints": entries}
        discovery = self._start_emulator("discovery", "127.3.0.2:0")
        address = discovery.receive(Listening).address
        discovery.request(ReplaceList(1, entries))
        for i in range(int(self.size["routers"])):
            self._start_router(i, folder, command, address, cached_list)
        for listen in self.addresses:
            self._wait_until_ready(listen)
        self.clients = self._start_emulator("clients")
        self.clients.request(
            StartClients(
                routers=self.addresses,
                rate_per_s=self.size["requests_per_s"],
                seed=self.seed * 1000,
                deadline_s=2.0,
                read_class="read",
                write_class="put",
                keys=p.keys,
                zipf_exponent=p.zipf,
                write_share=p.write_share,
                value_bytes=p.value_bytes,
            )
        )

    def _start_router(
        self, number: int, folder: Path, command: str, discovery: str, cached_list: dict[str, Any]
    ) -> None:
        p = self.parameters
        with socket.socket() as probe:  # a port that is free now
            probe.bind((f"127.4.0.{number + 1}", 0))
            listen = "{}:{}".format(*probe.getsockname())
        config = {
            "name": f"n{number}",
            "listen": listen,
            "discovery": discovery,
            "seed": f"{self.seed * 1000 + number:016x}",
            "limits": {"cores": 1.0, "memory_mb": p.memory_mb, "sockets": p.sockets},
            "known": cached_list,
            "settings": settings(p, int(self.size["siblings"])),
        }
        path = self.context.folder / f"router-{number}.json"
        path.write_bytes(orjson.dumps(config))
        environment = {"RELAY_NAME": config["name"], "RELAY_LISTEN": listen, "RELAY_DISCOVERY": discovery}
        with (self.context.folder / f"router-{number}.log").open("wb") as log:
            process = self.context.spawn(
                ["/bin/sh", "-c", f"ulimit -n {p.sockets}; {command}"],
                cwd=folder,
                env={**os.environ, **environment, "RELAY_CONFIG": str(path)},
                stdout=log,
                stderr=log,
            )
        self.processes.append(process)
        self.routers.append(psutil.Process(process.pid))
        self.addresses.append(listen)

    def _wait_until_ready(self, listen: str) -> None:
        """Wait until a router answers `+PONG`; raises RuntimeError where it does not."""
        host, _, port = listen.rpartition(":")
        deadline = time.monotonic() + READY_TIMEOUT_S
        while time.monotonic() < deadline:
            try:
                with socket.create_connection((host, int(port)), 1.0) as client:
                    client.sendall(b"*1\r\n$4\r\nPING\r\n")
                    if client.recv(64) == b"+PONG\r\n":
                        return
            except OSError:
                pass
            time.sleep(0.1)
        raise RuntimeError(f"router at {listen} is not ready after {READY_TIMEOUT_S:g} s")

    def usage(self) -> Usage:
        """Counts since the start, and latencies since the last call."""
        cpu_s = sum(sum(r.cpu_times()[:2]) for r in self.routers)
        clients = self.clients.request(GetClientsStats(restart=True))
        return Usage(self.caches.request(GetCachesStats()), clients, cpu_s)

    def run_load(self) -> None:
        """Let the time pass that is measured, with the fault of some caches at its beginning."""
        p, faulty = self.parameters, int(self.size.get("faulty", 0))
        remaining_s = p.measure_s
        if faulty:
            names = [e["name"] for e in cache_entries(int(self.size["caches"]))[:faulty]]
            self.caches.request(SetCacheMode(names, p.fault))
            time.sleep(min(p.fault_s, remaining_s))
            remaining_s -= min(p.fault_s, remaining_s)
            self.caches.request(SetCacheMode(names, "serve"))
        time.sleep(remaining_s)

    def stop(self) -> None:
        """End all of this sample."""
        for process in reversed(self.processes):
            self.context.stop(process)


def compute_metrics(before: Usage, after: Usage, routers: list[psutil.Process]) -> dict[str, float]:
    """Metrics of what happened between two moments."""
    seconds = after.caches.at - before.caches.at
    each = [
        {name: getattr(now, name) - getattr(before.caches.caches[cache], name) for name in CACHE_COUNTERS}
        for cache, now in after.caches.caches.items()
    ]
    samples = max(1, after.caches.samples - before.caches.samples)
    counts = {n: count - before.clients.counts.get(n, 0) for n, count in after.clients.counts.items()}
    requests, cpu_s = max(1, counts["asked"]), after.router_cpu_s - before.router_cpu_s
    caches = len(each)

    def total(field: str) -> float:
        return float(sum(e[field] for e in each))

    ends = ("served", "refused", "failed", "unanswered", "lost", "not_connected", "not_sent")
    ended = max(1, sum(counts.get(k, 0) for k in ends))

    def share(*kinds: str) -> float:
        return float(sum(counts.get(k, 0) for k in kinds) / ended)

    open_connections = total("open_sum") / samples
    origin = after.caches.origin.requests - before.caches.origin.requests
    latency = HdrHistogram.decode(after.clients.latency)
    found = [r.memory_info().rss for r in routers]
    return {
        "requests_per_s": requests / seconds,
        "served_share": share("served"),
        "refused_share": share("refused"),
        "lost_share": share(*ends[2:]),
        "latency_p50_s": latency.get_value_at_percentile(50) / 1e6,
        "latency_p99_s": latency.get_value_at_percentile(99) / 1e6,
        "attempts_per_request": total("requests") / requests,
        "handshakes_per_request": total("accepted") / requests,
        "handshakes_per_cache_per_s": total("accepted") / caches / seconds,
        "open_per_cache": open_connections / caches,
        "open_per_cache_per_router": open_connections / caches / len(routers),
        "most_open_at_a_cache": max(c.max_open for c in after.caches.caches.values()),
        "open_to_caches_per_router": open_connections / len(routers),
        "caches_met_share": sum(e["requests"] > 0 for e in each) / caches,
        "fullest_cache_share": max(e["requests"] for e in each) * caches / max(1.0, total("requests")),
        "hit_share": total("hits") / max(1.0, total("requests")),
        "busy_per_request": total("rejected") / requests,
        "origin_per_request": origin / requests,
        "router_cpu_per_request_s": cpu_s / requests,
        "router_cpu_share": cpu_s / seconds / len(routers),
        "router_resident_bytes": sum(found) / len(routers),
        "router_most_resident_bytes": peak_resident_bytes(routers),
        "router_descriptors": sum(r.num_fds() for r in routers) / len(routers),
        "client_connections_per_router": after.clients.counts["open"] / len(routers),
        "client_connections_per_request": counts["connections"] / requests,
    }


def peak_resident_bytes(routers: list[psutil.Process]) -> float:
    """The kernel's high-water mark of resident bytes, of the router that had the most."""
    marks = []
    for router in routers:
        lines = Path(f"/proc/{router.pid}/status").read_text().splitlines()
        marks += [int(line.split()[1]) * 1024 for line in lines if line.startswith("VmHWM:")]
    return float(max(marks, default=0))


def measure(
    parameters: Parameters, size: Mapping[str, float], seed: int, context: ExperimentContext
) -> Iterator[Sample]:
    """One sample; raises ControlError or RuntimeError where a process ends or is not ready in time."""
    deployment = Deployment(parameters, size, seed, context)
    try:
        context.progress("start")
        deployment.start()
        time.sleep(parameters.warm_s)
        context.progress("measure")
        references = [measure_reference_cpu_s()]
        before = deployment.usage()
        deployment.run_load()
        after = deployment.usage()
        references.append(measure_reference_cpu_s())
        if any(not r.is_running() or r.status() == psutil.STATUS_ZOMBIE for r in deployment.routers):
            raise RuntimeError("a router has ended")
        metrics = compute_metrics(before, after, deployment.routers)
        metrics |= {"load": os.getloadavg()[0], "reference_cpu_s": sum(references) / 2}
        yield Sample(metrics, {"latency": HdrHistogram.decode(after.clients.latency)})
    finally:
        deployment.stop()
