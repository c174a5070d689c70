"""Events that a host passes to `router.Router.handle`.

Events are immutable records. Times are in seconds on one monotonic clock, which the host owns.
"""

from dataclasses import dataclass, field
from enum import Enum

from cache_router.endpoint import Endpoint


class EndpointUpdateKind(Enum):
    """Content of an endpoint update, relative to the endpoint list that the router holds."""

    DELTA = "delta"  # changed entries only
    SNAPSHOT = "snapshot"  # the complete list
    CACHED = "cached"  # the complete list that was stored before the router started
    FAILED = "failed"  # no endpoints, because the poll of discovery failed


class AttemptStatus(Enum):
    """Outcome of an attempt."""

    OK = "ok"
    ERROR = "error"
    REJECTED = "rejected"  # the server has no capacity left
    TIMEOUT = "timeout"
    CONNECT_FAILED = "connect_failed"
    RESET = "reset"
    CANCELLED = "cancelled"
    NOT_SENT = "not_sent"  # the router could not send it; the server is not at fault
    MISS = "miss"  # the cache does not have the key


# statuses that prove that the server did not execute the request
NOT_EXECUTED = (
    AttemptStatus.REJECTED,
    AttemptStatus.CONNECT_FAILED,
    AttemptStatus.NOT_SENT,
    AttemptStatus.MISS,
)
ANSWERED = (AttemptStatus.OK, AttemptStatus.MISS)
# fast failures, whose latency says nothing about the server's load
FAILED = (AttemptStatus.ERROR, AttemptStatus.RESET, AttemptStatus.CONNECT_FAILED)


class TimerKind(Enum):
    """Purpose of a timer. The kind determines what the timer's target identifies."""

    HEDGE = "hedge"  # the target is a request id
    IDLE_CONNECTIONS = "idle"  # the target is a server name
    ENDPOINT_POLL = "poll"  # there is no target
    QUEUE_DEADLINE = "queue"  # the target is a request id


@dataclass(slots=True, frozen=True)
class Timer:
    """Identifies a timer; the host returns it unchanged in `TimerFired`.

    Timers of the same kind and target have the same purpose and compare equal.
    """

    kind: TimerKind
    target: str = ""
    serial: int = field(default=0, compare=False)  # distinguishes timers that compare equal


@dataclass(slots=True, frozen=True)
class EndpointUpdate:
    """A change of the endpoint list, or the failure of a poll of discovery."""

    kind: EndpointUpdateKind
    endpoints: tuple[Endpoint, ...] = ()
    discovery_address: str = ""  # address of the failed poll, for the log; empty if discovery has none


@dataclass(slots=True, frozen=True)
class DiscoveryAddressChanged:
    """The address of discovery has changed; the watch at the previous address has ended."""


@dataclass(slots=True, frozen=True)
class Request:
    """A client's request, which must get exactly one final answer within `time_left` seconds."""

    request_id: str
    request_class: str
    time_left: float
    key: str | None = None
    cost_hint: float | None = None  # client's estimate of the processing time at a server, in seconds
    is_write: bool = False


@dataclass(slots=True, frozen=True)
class ResponseStarted:
    """The client has received the first part of an attempt's response."""

    request_id: str
    attempt_number: int


@dataclass(slots=True, frozen=True)
class LoadReport:
    """Load as measured by the server itself; reports arrive late and are noisy."""

    service_time: float  # processing time of a recent request in seconds, without queueing
    queue_length: float  # number of requests waiting in the server's queue


@dataclass(slots=True, frozen=True)
class AttemptCompleted:
    """An attempt has ended."""

    request_id: str
    attempt_number: int
    status: AttemptStatus
    request_closed: bool = False  # the request has its final answer, or its client has disconnected
    latency: float = 0.0  # seconds
    load_report: LoadReport | None = None


@dataclass(slots=True, frozen=True)
class ClientDisconnected:
    """The client has disconnected; its request needs no answer."""

    request_id: str


@dataclass(slots=True, frozen=True)
class ShutdownStarted:
    """The router shuts down and must give every final answer within `answer_within` seconds."""

    answer_within: float


@dataclass(slots=True, frozen=True)
class TimerFired:
    """A timer that was set earlier is due."""

    timer: Timer


Event = (
    EndpointUpdate
    | DiscoveryAddressChanged
    | Request
    | ResponseStarted
    | AttemptCompleted
    | ClientDisconnected
    | ShutdownStarted
    | TimerFired
)
