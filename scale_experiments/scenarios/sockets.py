"""Connections and handshakes between real routers and emulated cache servers, and their cost for a router.

The `build` command of deploy/balancer.toml builds the router in a folder of the run. The `run` command starts
each router process with the limits of a deployment. Each cache server has an address of its own, and emulated
clients generate the load. CPU metrics are of the router processes only. `siblings` is the router count in the
settings, which determines how long routers keep idle connections.
"""

from __future__ import annotations

import subprocess
import time
from collections.abc import Iterator, Sequence
from typing import Any, Literal

import psutil
from pydantic import BaseModel, ConfigDict, Field

from scale_experiments.emulators.control import ControlClient
from scale_experiments.emulators.launch import CACHES_MODULE, CLIENTS_MODULE, DISCOVERY_MODULE, start_emulator
from scale_experiments.emulators.messages.caches import GetCachesStats, SetCacheMode, StartCaches
from scale_experiments.emulators.messages.clients import GetClientsStats, StartClients
from scale_experiments.emulators.messages.discovery import Listening, ReplaceList
from scale_experiments.endpoint_lists.endpoint_entries import (
    EndpointEntry,
    build_entry,
    build_loopback_entries,
    build_snapshot,
)
from scale_experiments.measurement.histograms import decode_histogram
from scale_experiments.measurement.reference_work import measure_reference_cpu_s
from scale_experiments.routers.router_process import (
    RouterConfiguration,
    RouterProcess,
    build_router,
    start_router,
    wait_until_ready,
)
from scale_experiments.runs.context import ExperimentContext
from scale_experiments.runs.sample import Sample
from scale_experiments.runs.scenario import Scenario, WholeNumber
from scale_experiments.scenarios.machine_metrics import MachineMetrics, measure_machine
from scale_experiments.scenarios.socket_metrics import SocketsMetrics, UsageSnapshot, compute_metrics

READY_TIMEOUT_S = 30.0
REPLY_TIMEOUT_S = 60.0
REQUEST_DEADLINE_S = 2.0
SEEDS_PER_SAMPLE = 1000  # seeds reserved for the processes of one sample
LIST_INDEX = 1  # index of the only endpoint list that discovery serves
CACHE_NETWORK = "127.2"  # prefix of the caches' addresses
ORIGIN_LISTEN = "127.3.0.1:0"  # any free port
DISCOVERY_LISTEN = "127.3.0.2:0"  # any free port
ROUTER_NETWORK = "127.4.0"  # prefix of the routers' addresses


class Parameters(BaseModel):
    """The parameters that all sizes of an experiment share; aliases are the keys."""

    model_config = ConfigDict(extra="forbid")

    memory_mb: int = Field(192, ge=16, le=4096, description="memory limit in a router's configuration")
    descriptors: int = Field(
        1024,
        alias="sockets",
        ge=64,
        le=16384,
        description="file descriptors of a router, configured and enforced",
    )
    warm_s: float = Field(5.0, ge=0, le=300, description="seconds of load before it is measured")
    measured_s: float = Field(
        15.0, alias="measure_s", gt=0, le=600, description="seconds of load that are measured"
    )
    keys: int = Field(100_000, ge=1, le=10_000_000, description="distinct keys of the clients' requests")
    zipf_exponent: float = Field(
        0.9, alias="zipf", ge=0, le=3, description="exponent of the popularity of keys (Zipf's law)"
    )
    write_share: float = Field(0.0, ge=0, le=1, description="share of requests that write")
    value_bytes: int = Field(1024, ge=0, le=65536, description="size of each value")
    is_warm: bool = Field(True, alias="warm", description="whether the caches hold every key at the start")
    service_s: float = Field(0.005, ge=0, le=10, description="seconds that a cache takes for a request")
    handshake_s: float = Field(
        0.002, ge=0, le=10, description="additional seconds for the first request on a connection"
    )
    idle_timeout_s: float = Field(
        10.0, alias="idle_s", gt=0, le=600, description="idle seconds until a cache closes a connection"
    )
    max_connections: int = Field(
        750, alias="most_connections", ge=1, le=100_000, description="connections that a cache serves at once"
    )
    origin_service_s: float = Field(0.05, ge=0, le=10, description="seconds for a fetch at the origin")
    origin_max_concurrent: int = Field(
        200, alias="origin_most_at_once", ge=1, le=100_000, description="concurrent fetches at the origin"
    )
    connection_price: float = Field(
        0.05, ge=0, le=10, description="price of 100 open connections at every cache, in the settings"
    )
    handshake_price: float = Field(
        0.05, ge=0, le=10, description="price of a new connection for every request, in the settings"
    )
    fault: Literal["dead", "hang", "drain"] = Field(
        "dead", description="fault of the `faulty` caches; the endpoint list does not show it"
    )
    fault_s: float = Field(
        5.0, gt=0, le=600, description="seconds for which the fault lasts, from the start of the measurement"
    )


class Size(BaseModel):
    """The columns of one size of an experiment."""

    routers: WholeNumber = Field(description="router processes")
    caches: WholeNumber = Field(description="cache servers")
    requests_per_s: float = Field(description="requests of clients at each router")
    siblings: WholeNumber = Field(description="router count in the settings of each router")
    faulty: WholeNumber = Field(0, description="cache servers that have the fault")


def build_cache_entries(count: int) -> list[EndpointEntry]:
    """Return entries for cache servers, each with an address of its own."""
    return build_loopback_entries(count, CACHE_NETWORK, ["a"], "std")


def build_settings(parameters: Parameters, router_count: int) -> dict[str, Any]:
    """Return the settings of a site in the form of a router's configuration file."""
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
            "connIdle": parameters.idle_timeout_s,
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
        "siblings": router_count,
        "weights": "silent",
    }


class Deployment:
    """The processes of one sample: the caches with the origin, discovery, routers and clients."""

    def __init__(self, parameters: Parameters, size: Size, seed: int, context: ExperimentContext) -> None:
        self.parameters = parameters
        self.size = size
        self.seed = seed
        self.context = context
        self.cache_names: list[str] = []
        self.processes: list[subprocess.Popen[bytes]] = []
        self.routers: list[psutil.Process] = []

    def start(self) -> None:
        """Start caches, discovery and routers, and the clients once the routers are ready.

        Raises ControlError, OSError or RouterStartError if a process does not start.
        """
        build_router(self.context)  # first, so that no emulator runs during the build
        entries = build_cache_entries(self.size.caches)
        self.cache_names = [entry["name"] for entry in entries]
        origin = self._start_caches(entries)
        entries.append(build_entry("origin", origin, zone="a", server_type="origin", group=0))
        discovery = self._start_discovery(entries)
        routers = [self._start_router(number, discovery, entries) for number in range(self.size.routers)]
        for router in routers:
            wait_until_ready(router, READY_TIMEOUT_S)
        self._start_clients([router.address for router in routers])

    def _start_emulator(self, name: str, module: str, *arguments: str) -> ControlClient:
        client = start_emulator(self.context, name, module, *arguments, reply_timeout_s=REPLY_TIMEOUT_S)
        self.processes.append(client.process)
        return client

    def _start_caches(self, entries: Sequence[EndpointEntry]) -> str:
        """Start the caches and the origin; return the origin's address."""
        parameters = self.parameters
        self.caches = self._start_emulator("cache", CACHES_MODULE)
        command = StartCaches(
            addresses={entry["name"]: entry["address"] for entry in entries},
            origin=ORIGIN_LISTEN,
            max_keys=parameters.keys,
            value_bytes=parameters.value_bytes,
            service_s=parameters.service_s,
            handshake_s=parameters.handshake_s,
            idle_s=parameters.idle_timeout_s,
            max_connections=parameters.max_connections,
            warm=parameters.is_warm,
            origin_service_s=parameters.origin_service_s,
            origin_max_concurrent=parameters.origin_max_concurrent,
        )
        return self.caches.request(command).origin

    def _start_discovery(self, entries: Sequence[EndpointEntry]) -> str:
        """Start discovery with an endpoint list; return its address."""
        discovery = self._start_emulator("discovery", DISCOVERY_MODULE, DISCOVERY_LISTEN)
        address = discovery.receive(Listening).address
        discovery.request(ReplaceList(LIST_INDEX, entries))
        return address

    def _start_router(self, number: int, discovery: str, entries: Sequence[EndpointEntry]) -> RouterProcess:
        configuration = RouterConfiguration(
            name=f"n{number}",
            discovery=discovery,
            seed=self.seed * SEEDS_PER_SAMPLE + number,
            memory_mb=self.parameters.memory_mb,
            descriptors=self.parameters.descriptors,
            cached_list=build_snapshot(LIST_INDEX, entries),
            settings=build_settings(self.parameters, self.size.siblings),
        )
        router = start_router(self.context, configuration, f"{ROUTER_NETWORK}.{number + 1}")
        self.processes.append(router.process)
        self.routers.append(psutil.Process(router.process.pid))
        return router

    def _start_clients(self, routers: list[str]) -> None:
        parameters = self.parameters
        self.clients = self._start_emulator("clients", CLIENTS_MODULE)
        self.clients.request(
            StartClients(
                routers=routers,
                rate_per_s=self.size.requests_per_s,
                seed=self.seed * SEEDS_PER_SAMPLE,
                deadline_s=REQUEST_DEADLINE_S,
                read_class="read",
                write_class="put",
                keys=parameters.keys,
                zipf_exponent=parameters.zipf_exponent,
                write_share=parameters.write_share,
                value_bytes=parameters.value_bytes,
            )
        )

    def usage_snapshot(self) -> UsageSnapshot:
        """Return the counts since the start, and the latencies since the previous call."""
        cpu_s = sum(sum(router.cpu_times()[:2]) for router in self.routers)
        clients = self.clients.request(GetClientsStats(restart=True))
        return UsageSnapshot(self.caches.request(GetCachesStats()), clients, cpu_s)

    def run_load(self) -> None:
        """Wait while the load is measured; for the first `fault_s` seconds some caches have the fault."""
        parameters, faulty = self.parameters, self.size.faulty
        remaining_s = parameters.measured_s
        if faulty:
            names = self.cache_names[:faulty]
            self.caches.request(SetCacheMode(names, parameters.fault))
            time.sleep(min(parameters.fault_s, remaining_s))
            remaining_s -= min(parameters.fault_s, remaining_s)
            self.caches.request(SetCacheMode(names, "serve"))
        time.sleep(remaining_s)

    def check_routers(self) -> None:
        """Raise RuntimeError if a router process has exited."""
        if any(not router.is_running() or router.status() == psutil.STATUS_ZOMBIE for router in self.routers):
            raise RuntimeError("a router process exited before the end of the measurement")

    def stop(self) -> None:
        """Stop all processes of the sample, the last started first."""
        for process in reversed(self.processes):
            self.context.stop(process)


def measure(parameters: Parameters, size: Size, seed: int, context: ExperimentContext) -> Iterator[Sample]:
    """Yield one sample.

    Raises ControlError, OSError or RuntimeError if a process does not start, or exits early.
    """
    deployment = Deployment(parameters, size, seed, context)
    try:
        context.progress("start")
        deployment.start()
        time.sleep(parameters.warm_s)
        context.progress("measure")
        references = [measure_reference_cpu_s()]
        before = deployment.usage_snapshot()
        deployment.run_load()
        after = deployment.usage_snapshot()
        references.append(measure_reference_cpu_s())
        deployment.check_routers()
        metrics = compute_metrics(before, after, deployment.routers)
        machine = measure_machine(references)
        yield Sample(
            metrics.values() | machine.values(), {"latency": decode_histogram(after.clients.latency)}
        )
    finally:
        deployment.stop()


SCENARIO = Scenario(
    description=__doc__ or "",
    parameters=Parameters,
    size=Size,
    metric_descriptions={**SocketsMetrics.descriptions(), **MachineMetrics.descriptions()},
    measure=measure,
)
