"""What a host tells the decisions: the events that `router.Router.handle` takes.

Events are plain data. Times are seconds on one clock that only advances; the host owns that clock.
"""

from dataclasses import dataclass
from enum import Enum

from cache_router.endpoint import Endpoint


class EndpointUpdateKind(Enum):
    """How an update relates to the endpoint list already held."""

    DELTA = "delta"  # changed entries only
    SNAPSHOT = "snapshot"  # the complete list
    CACHED = "cached"  # the complete list as it was known before the router started
    FAILED = "failed"  # discovery could not be reached; carries no endpoints


class AttemptStatus(Enum):
    """How an attempt ended."""

    OK = "ok"
    ERROR = "error"
    REJECTED = "rejected"  # by a server that has no capacity left
    TIMEOUT = "timeout"
    CONNECT_FAILED = "connect_failed"
    RESET = "reset"
    CANCELLED = "cancelled"
    NOT_SENT = "not_sent"  # for a reason on the router's side
    MISS = "miss"


# the outcome itself proves that the request was not carried out
NOT_EXECUTED = (
    AttemptStatus.REJECTED,
    AttemptStatus.CONNECT_FAILED,
    AttemptStatus.NOT_SENT,
    AttemptStatus.MISS,
)


ANSWERED = (AttemptStatus.OK, AttemptStatus.MISS)
# fast failures, which tell nothing of a server's load
FAILED = (AttemptStatus.ERROR, AttemptStatus.RESET, AttemptStatus.CONNECT_FAILED)


class TimerKind(Enum):
    """What a timer is set for."""

    HEDGE = "hedge"  # the subject is a request's id
    IDLE_CONNECTIONS = "idle"  # the subject is a server's name
    ENDPOINT_POLL = "poll"  # no subject
    QUEUE_DEADLINE = "queue"  # the subject is a request's id


@dataclass(slots=True, frozen=True)
class Timer:
    """Which timer is set or due; a host hands it back as it is."""

    kind: TimerKind
    subject: str = ""


@dataclass(slots=True, frozen=True)
class EndpointUpdate:
    """News of the endpoint list, or of the failure to get any."""

    kind: EndpointUpdateKind
    endpoints: tuple[Endpoint, ...] = ()


@dataclass(slots=True, frozen=True)
class DiscoveryAddressChanged:
    """Updates come from another discovery from now on; the watch on the one before has ended."""


@dataclass(slots=True, frozen=True)
class Request:
    """A client's request; it is owed exactly one final answer within `time_left` seconds."""

    request_id: str
    request_class: str
    time_left: float
    key: str | None = None
    cost_hint: float | None = None  # seconds of a server's work, as the client estimates it
    is_write: bool = False


@dataclass(slots=True, frozen=True)
class ResponseStarted:
    """The response of an attempt has begun to flow to the client."""

    request_id: str
    attempt_number: int


@dataclass(slots=True, frozen=True)
class LoadReport:
    """What a server reports of itself, a little late and noisy."""

    service_time: float  # seconds of a recent request, without queueing
    queue_length: float  # requests that wait at the server


@dataclass(slots=True, frozen=True)
class AttemptCompleted:
    """The end of an attempt."""

    request_id: str
    attempt_number: int
    status: AttemptStatus
    request_closed: bool = False  # the request has its final answer, or its client has left
    latency: float = 0.0  # seconds
    load_report: LoadReport | None = None


@dataclass(slots=True, frozen=True)
class ClientDisconnected:
    """The client left; no answer is owed any more."""

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
