"""Where the parts of a router put the actions that an event calls for."""

from cache_router.decisions.actions import Action


class ActionBuffer:
    """The actions for the event being handled, in the order in which the host must carry them out."""

    def __init__(self) -> None:
        self._actions: list[Action] = []

    def start_event(self) -> list[Action]:
        """Start the list for the next event, and return it; it fills while the event is handled.

        A list is never used twice: the host still has the one of the event before. Actions of an event whose
        handling failed midway are dropped with their list.
        """
        self._actions = []
        return self._actions

    def add(self, action: Action) -> None:
        """Append an action to those for the event being handled."""
        self._actions.append(action)
