"""The subscription to the endpoint list: when the router requests the list from discovery."""

from dataclasses import dataclass, field

from cache_router.decisions.action_buffer import ActionBuffer
from cache_router.decisions.actions import LogMessage, SubscribeToEndpoints
from cache_router.decisions.endpoint_polling import EndpointPoller
from cache_router.decisions.events import TimerKind
from cache_router.decisions.log_sampling import is_logged
from cache_router.decisions.timers import TimerSet
from cache_router.settings import Settings

POLL_TARGET = ""  # target of the poll timer; there is only one, as there is one subscription


@dataclass(slots=True)
class EndpointSubscription:
    """Subscribes to the endpoint list where updates are not pushed, and polls again after a failure."""

    settings: Settings
    poller: EndpointPoller
    actions: ActionBuffer
    timers: TimerSet = field(init=False)

    def __post_init__(self) -> None:
        self.timers = TimerSet(TimerKind.ENDPOINT_POLL, self.actions)

    def on_update(self, is_cached: bool, now: float) -> None:
        """Handle an endpoint update; a cached list arrives before the first subscription and starts it."""
        self.poller.on_update(is_cached, now)
        if is_cached:
            self._subscribe_unless_pushed()

    def on_failure(self, discovery_address: str, now: float) -> None:
        """Handle a failed poll: log it, and set the timer of the next poll."""
        backoff = self.poller.on_failure(now)
        self.timers.set(POLL_TARGET, backoff, now)
        if is_logged(self.poller.failures):
            subject = f"discovery {discovery_address}" if discovery_address else "discovery"
            self.actions.add(LogMessage(f"{subject}: {self.poller.failures} consecutive failures"))

    def on_address_changed(self, now: float) -> None:
        """Handle a new address of discovery: subscribe there at once.

        Where updates are pushed, the host itself subscribes. In both cases the poll timer is cancelled, as it
        would start a second poll.
        """
        self.timers.cancel(POLL_TARGET)
        self.poller.on_address_changed(now)
        self._subscribe_unless_pushed()

    def on_poll_timer(self) -> None:
        """Handle the end of a backoff: poll discovery again, also where updates are pushed."""
        self.actions.add(SubscribeToEndpoints())

    def _subscribe_unless_pushed(self) -> None:
        if self.settings.must_subscribe:
            self.actions.add(SubscribeToEndpoints())
