"""Buffer in which the parts of a router collect the actions for an event."""

from collections.abc import Callable

from cache_router.decisions.actions import Action


class ActionBuffer:
    """Collects the actions for the event being handled, in the order in which the host must execute them.

    Attributes:
        add: Appends an action for the event being handled. It is the `append` method of the list itself,
            which saves a call for each action.
    """

    add: Callable[[Action], None]

    def __init__(self) -> None:
        self._actions: list[Action] = []
        self.start_event()

    def decided(self) -> list[Action]:
        """Return the actions so far for the event being handled, or those for the last event."""
        return self._actions

    def start_event(self) -> list[Action]:
        """Start a list for the next event and return it; actions are added while the event is handled.

        A list is never reused, because the host still holds the list of the previous event.
        """
        actions: list[Action] = []
        self._actions = actions
        self.add = actions.append
        return actions
