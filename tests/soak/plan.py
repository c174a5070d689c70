"""The plan drawn from a seed: settings, fleet, load, and the faults and signals with their times."""

from __future__ import annotations

import random
from dataclasses import dataclass, field
from enum import Enum
from typing import Any

from tests.soak.flood_processes import Flood, draw_floods

LOAD_START = 1.0  # seconds after the first start of the router
CACHE_KIND, ORIGIN_KIND = "std", "store"
DRAIN_GRACE = 0.5  # seconds after the notice of a drain in which attempts may still begin


class CacheMode(Enum):
    """Ways in which a cache server responds to commands."""

    NORMAL = "normal"
    SLOW = "slow"
    HANGING = "hanging"  # never responds
    REJECTING = "rejecting"
    FAILING = "failing"
    RESETTING = "resetting"  # resets the connection
    CUTTING = "cutting"  # closes the connection in the middle of a response
    ANSWERING_TWICE = "answering twice"  # sends each response a second time
    GONE = "gone"  # no process at the address


class OriginMode(Enum):
    """Ways in which the origin responds to requests."""

    NORMAL = "normal"
    SLOW = "slow"
    REJECTING = "rejecting"
    GONE = "gone"


class DiscoveryMode(Enum):
    """Ways in which discovery responds to polls."""

    SERVING = "serving"
    REFUSING = "refusing"  # no process at the address
    SILENT = "silent"  # never responds
    SLOW = "slow"
    UNAVAILABLE = "unavailable"  # status 503
    WRONG_INDEX = "wrong index"  # the index is not a number


class SignalSeries(Enum):
    """Kinds of configuration that the router finds when it receives SIGHUP, once or several times."""

    NEW = "new"  # the other address of discovery
    SAME = "same"
    MALFORMED = "malformed"
    MISSING = "missing"
    ALTERNATING = "alternating"  # both addresses of discovery in quick alternation


class ClientKind(Enum):
    """Behaviours of a client."""

    STEADY = "steady"
    RESTING = "resting"  # idle for seconds between requests
    PIPELINING = "pipelining"
    LEAVING = "leaving"  # often disconnects without waiting for the reply
    SLOWLY_WRITING = "slowly writing"  # sends each command in two parts
    NOT_READING = "not reading"  # reads each reply late


@dataclass(slots=True, frozen=True)
class Step:
    """A scheduled event; `kind` is the new mode of a peer, a series of signals, "drain" or "restart"."""

    time: float  # seconds after the first start of the router
    kind: CacheMode | OriginMode | DiscoveryMode | SignalSeries | str
    cache_index: int = 0  # index of the affected cache server; unused if no cache server is affected


@dataclass(slots=True)
class Plan:
    """Everything that is drawn from one seed."""

    seed: int
    duration: float  # seconds in which the steps are executed
    settings: dict[str, Any] = field(default_factory=dict)
    descriptors: int = 512  # limit of descriptors in the router's configuration
    cache_count: int = 4
    clients: list[ClientKind] = field(default_factory=list)
    idle_connections: int = 0  # number of connections that clients open without sending anything
    steps: list[Step] = field(default_factory=list)
    floods: list[Flood] = field(default_factory=list)
    with_system_call_faults: bool = False

    @property
    def sigkill_after(self) -> float:
        """Seconds between SIGTERM and the earliest SIGKILL."""
        longest: float = max(c["giveUp"] for c in self.settings["classes"])
        return min(3.0, longest) + 0.7

    @property
    def is_cache_aside(self) -> bool:
        """Whether the router fetches misses from the origin."""
        return bool(self.settings["familyInfo"]["mode"] == "aside")


def draw_plan(seed: int, duration: float, with_floods: bool = False) -> Plan:
    """Draw the plan of a seed; `with_floods` adds floods, and changes nothing else."""
    generator = random.Random(seed)
    plan = Plan(seed, duration, settings=_draw_settings(generator))
    plan.cache_count = generator.randint(3, 7)
    with_idle_connections = generator.random() < 0.2
    plan.descriptors = 128 if with_idle_connections else 512
    plan.idle_connections = 120 if with_idle_connections else 0
    plan.clients = [generator.choice(list(ClientKind)) for _ in range(generator.randint(8, 20))]
    if with_floods:
        plan.floods = draw_floods(seed, duration)
    plan.steps = sorted(_draw_steps(generator, plan), key=lambda step: step.time)
    return plan


def _draw_settings(generator: random.Random) -> dict[str, Any]:
    scale = generator.choice([0.5, 1.0, 2.0])
    group = generator.choice(["all", "zone", "cell"])
    window = generator.choice([0.5, 2.5, 5.0])
    return {
        "classes": [
            {"name": "read", "aim": 0.3 * scale, "giveUp": 1.2 * scale, "effect": "free"},
            {
                "name": "keyed",
                "aim": 0.5 * scale,
                "giveUp": 1.0 * scale,
                "effect": "guarded",
                "group": group,
                "repeatWindow": window,
            },
            {"name": "once", "aim": 0.5 * scale, "giveUp": 1.2 * scale, "effect": "single_shot"},
        ],
        "familyInfo": {"mode": generator.choice(["aside", "through"]), "originKind": 1},
        "skus": [CACHE_KIND, ORIGIN_KIND],
        "limits": {
            "mostTries": generator.randint(1, 4),
            "mayCancel": generator.random() < 0.7,
            "secondCopies": generator.random() < 0.7,
            "connIdle": generator.choice([1.5, 10.0]),
            "dialTimeout": 0.12,
            "maxRetryAfter": 1.2,
        },
        "loadReport": {"fields": ["svc_ms", "pending"], "how": "piggyback"},
        "membershipMode": generator.choice(["automatic", "subscribe"]),
        "resolution": 0.005,
        "rules": {
            "coldFrom": 0.3,
            "rampTime": 4.0,
            "fallMultiple": 4.0,
            "overloadFor": 1.0,
            "stopSendingWithin": DRAIN_GRACE,
        },
        "siblings": generator.choice([1, 3, 200]),
        "zone": "a",
    }


def _draw_steps(generator: random.Random, plan: Plan) -> list[Step]:
    end = plan.duration - 1.0
    steps = []
    for mode in generator.sample([m for m in CacheMode if m is not CacheMode.NORMAL], 4):
        cache = generator.randrange(plan.cache_count)
        start = generator.uniform(LOAD_START, end - 1.0)
        steps.append(Step(start, mode, cache))
        steps.append(Step(start + generator.uniform(0.5, 3.0), CacheMode.NORMAL, cache))
    for outage in generator.sample([m for m in DiscoveryMode if m is not DiscoveryMode.SERVING], 2):
        start = generator.uniform(0.0, end - 2.0)
        steps.append(Step(start, outage))
        if generator.random() < 0.5:  # an operator tries both addresses for one that responds
            steps.append(Step(start + 0.3, SignalSeries.ALTERNATING))
        steps.append(Step(start + generator.uniform(0.5, 4.0), DiscoveryMode.SERVING))
    origin_mode = generator.choice([m for m in OriginMode if m is not OriginMode.NORMAL])
    start = generator.uniform(LOAD_START, end - 1.0)
    steps += [Step(start, origin_mode), Step(start + generator.uniform(0.5, 2.0), OriginMode.NORMAL)]
    steps += [
        Step(generator.uniform(LOAD_START, end), "drain", cache) for cache in range(plan.cache_count // 3)
    ]
    steps += [Step(generator.uniform(0.0, end), s) for s in generator.choices(list(SignalSeries), k=3)]
    if generator.random() < 0.5:
        steps.append(Step(generator.uniform(plan.duration * 0.3, plan.duration * 0.7), "restart"))
    return steps
