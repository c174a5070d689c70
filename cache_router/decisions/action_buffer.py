"""Where the parts of a router put the actions that an event calls for."""

from collections.abc import Callable

from cache_router.decisions.actions import Action


class ActionBuffer:
    """The actions for the event being handled, in the order in which the host must carry them out.

    Attributes:
        add: Appends an action to those for the event being handled. It is the list's own method, which saves
            a call for each action.
    """

    add: Callable[[Action], None]

    def __init__(self) -> None:
        self._actions: list[Action] = []
        self.start_event()

    def decided(self) -> list[Action]:
        """The actions so far for the event being handled, or handled last."""
        return self._actions

    def start_event(self) -> list[Action]:
        """Start the list for the next event, and return it; it fills while the event is handled.

        A list is never used twice: the host still has the one of the event before.
        """
        actions: list[Action] = []
        self._actions = actions
        self.add = actions.append
        return actions
