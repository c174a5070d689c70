"""The actions for one event keep their order, and are separate from those for other events."""

from __future__ import annotations

from cache_router.decisions.action_buffer import ActionBuffer
from cache_router.decisions.actions import Fail, Send, SubscribeToEndpoints


def test_actions_keep_their_order() -> None:
    buffer = ActionBuffer()
    collected = buffer.start_event()
    buffer.add(Send("r", "a"))
    buffer.add(Fail("r"))
    assert collected == [Send("r", "a"), Fail("r")]


def test_list_of_an_earlier_event_is_never_changed() -> None:
    buffer = ActionBuffer()
    first = buffer.start_event()
    buffer.add(Send("r", "a"))
    second = buffer.start_event()
    buffer.add(SubscribeToEndpoints())
    assert first == [Send("r", "a")]
    assert second == [SubscribeToEndpoints()]
