"""The subscription to the endpoint list: when the router asks discovery for the list."""

from dataclasses import dataclass, field

from cache_router.decisions.action_buffer import ActionBuffer
from cache_router.decisions.actions import LogMessage, SubscribeToEndpoints
from cache_router.decisions.endpoint_polling import EndpointPoller
from cache_router.decisions.events import TimerKind
from cache_router.decisions.repeated_events import is_logged
from cache_router.decisions.timers import TimerSet
from cache_router.settings import Settings

POLL = ""  # subject of the timer of the next poll: there is one subscription


@dataclass(slots=True)
class EndpointSubscription:
    """Subscribes where updates are not pushed, and polls again after a failure."""

    settings: Settings
    poller: EndpointPoller
    actions: ActionBuffer
    timers: TimerSet = field(init=False)

    def __post_init__(self) -> None:
        self.timers = TimerSet(TimerKind.ENDPOINT_POLL, self.actions)

    def on_update(self, is_cached: bool, now: float) -> None:
        """An update arrived; a cached list comes before the first subscription."""
        self.poller.on_update(is_cached, now)
        if is_cached:
            self._subscribe_unless_pushed()

    def on_failure(self, discovery_address: str, now: float) -> None:
        """A call to discovery failed: poll again after a backoff."""
        backoff = self.poller.on_failure(now)
        self.timers.set(POLL, backoff, now)
        if is_logged(self.poller.failures):
            subject = f"discovery {discovery_address}" if discovery_address else "discovery"
            self.actions.add(LogMessage(f"{subject}: {self.poller.failures} consecutive failures"))

    def on_address_changed(self, now: float) -> None:
        """Discovery has another address: subscribe there at once.

        The host does so itself where updates are pushed. Either way no timer may start a second poll.
        """
        self.timers.cancel(POLL)
        self.poller.on_address_changed(now)
        self._subscribe_unless_pushed()

    def on_poll_timer(self) -> None:
        """The backoff is over: call discovery again, also where updates are pushed."""
        self.actions.add(SubscribeToEndpoints())

    def _subscribe_unless_pushed(self) -> None:
        if self.settings.must_subscribe:
            self.actions.add(SubscribeToEndpoints())
