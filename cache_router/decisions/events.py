"""The events that a host hands to `router.Router.handle`.

Events are plain data. Times are seconds on one clock that only advances; the host owns that clock.
"""

from dataclasses import dataclass, field
from enum import Enum

from cache_router.endpoint import Endpoint


class EndpointUpdateKind(Enum):
    """How an update relates to the endpoint list already held."""

    DELTA = "delta"  # changed entries only
    SNAPSHOT = "snapshot"  # the complete list
    CACHED = "cached"  # the complete list as it was known before the router started
    FAILED = "failed"  # discovery could not be reached; the update has no endpoints


class AttemptStatus(Enum):
    """How an attempt ended."""

    OK = "ok"
    ERROR = "error"
    REJECTED = "rejected"  # by a server that has no capacity left
    TIMEOUT = "timeout"
    CONNECT_FAILED = "connect_failed"
    RESET = "reset"
    CANCELLED = "cancelled"
    NOT_SENT = "not_sent"  # for a reason of the router's own
    MISS = "miss"  # the cache does not have the key


# the status itself proves that the server did not execute the request
NOT_EXECUTED = (
    AttemptStatus.REJECTED,
    AttemptStatus.CONNECT_FAILED,
    AttemptStatus.NOT_SENT,
    AttemptStatus.MISS,
)
ANSWERED = (AttemptStatus.OK, AttemptStatus.MISS)
# fast failures, which are no measure of a server's load
FAILED = (AttemptStatus.ERROR, AttemptStatus.RESET, AttemptStatus.CONNECT_FAILED)


class TimerKind(Enum):
    """What a timer is set for."""

    HEDGE = "hedge"  # the subject is a request's id
    IDLE_CONNECTIONS = "idle"  # the subject is a server's name
    ENDPOINT_POLL = "poll"  # no subject
    QUEUE_DEADLINE = "queue"  # the subject is a request's id


@dataclass(slots=True, frozen=True)
class Timer:
    """Which timer is set or due; a host returns it unchanged in `TimerFired`.

    Timers of one kind and subject are set for the same purpose, and compare equal.
    """

    kind: TimerKind
    subject: str = ""
    serial: int = field(default=0, compare=False)  # distinguishes it from others of the same purpose


@dataclass(slots=True, frozen=True)
class EndpointUpdate:
    """A change of the endpoint list, or the failure of a call for it."""

    kind: EndpointUpdateKind
    endpoints: tuple[Endpoint, ...] = ()
    discovery_address: str = ""  # of a failed call, for the log; empty where discovery has none


@dataclass(slots=True, frozen=True)
class DiscoveryAddressChanged:
    """Discovery has another address from now on; the watch at the previous address has ended."""


@dataclass(slots=True, frozen=True)
class Request:
    """A client's request, which must get exactly one final answer within `time_left` seconds."""

    request_id: str
    request_class: str
    time_left: float
    key: str | None = None
    cost_hint: float | None = None  # seconds of a server's work, as the client estimates it
    is_write: bool = False


@dataclass(slots=True, frozen=True)
class ResponseStarted:
    """The client has received the first part of an attempt's response."""

    request_id: str
    attempt_number: int


@dataclass(slots=True, frozen=True)
class LoadReport:
    """A server's own measurements, which are late and noisy."""

    service_time: float  # seconds that a recent request took, without queueing
    queue_length: float  # requests that wait in the server's queue


@dataclass(slots=True, frozen=True)
class AttemptCompleted:
    """The end of an attempt."""

    request_id: str
    attempt_number: int
    status: AttemptStatus
    request_closed: bool = False  # the request has its final answer, or its client has disconnected
    latency: float = 0.0  # seconds
    load_report: LoadReport | None = None


@dataclass(slots=True, frozen=True)
class ClientDisconnected:
    """The client disconnected; its request needs no answer."""

    request_id: str


@dataclass(slots=True, frozen=True)
class ShutdownStarted:
    """The router shuts down: every request must have its final answer `answer_within` seconds from now."""

    answer_within: float


@dataclass(slots=True, frozen=True)
class TimerFired:
    """A timer set earlier is due."""

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
