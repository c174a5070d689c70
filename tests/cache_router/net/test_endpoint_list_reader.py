"""Reading of the messages of discovery."""

from __future__ import annotations

from typing import Any

import orjson
import pytest

from cache_router.endpoint import MAX_WEIGHT, MIN_WEIGHT, Endpoint, EndpointState
from cache_router.net.endpoint_list_reader import EndpointListError, read_endpoint_list
from tests.support.endpoint_lists import ENDPOINT_ENTRY, encode_endpoint_list


def test_endpoint_entry_is_read() -> None:
    """The fields of an entry are mapped to those of `Endpoint`; `since_ms` 0 is a start time of 0."""
    update = read_endpoint_list(orjson.loads(encode_endpoint_list(7, True, ENDPOINT_ENTRY)))
    (endpoint,) = update.endpoints
    assert (update.index, update.is_snapshot, endpoint.address) == (7, True, "127.0.0.9:6379")
    entry = Endpoint("s-1", EndpointState.READY, "m2", "a", 3, 1.5, 1_790_000_000.25)
    # The name is kept, so that all routers agree on it; the start time is in seconds of the router's clock.
    assert endpoint.entry == entry
    (started_long_ago,) = read_endpoint_list(
        orjson.loads(encode_endpoint_list(7, True, {**ENDPOINT_ENTRY, "since_ms": 0}))
    ).endpoints
    assert started_long_ago.entry.started_at == 0


@pytest.mark.parametrize(
    ("change", "field"),
    [
        ({"name": 5}, "name"),
        ({"address": "nowhere"}, "address"),
        ({"address": "127.0.0.1:99999"}, "address"),
        ({"status": "odd"}, "status"),
        ({"weight": "big"}, "weight"),
        ({"group": True}, "group"),
        ({"since_ms": None}, "since_ms"),
    ],
)
def test_malformed_entry_is_named_in_the_error(change: dict[str, Any], field: str) -> None:
    """The error names the index of the entry and the malformed field."""
    with pytest.raises(EndpointListError, match=rf"^known\.endpoints\[1\]\.{field}"):
        read_endpoint_list(
            {"index": 1, "snapshot": True, "endpoints": [ENDPOINT_ENTRY, {**ENDPOINT_ENTRY, **change}]},
            "known",
        )


@pytest.mark.parametrize(
    ("message", "error"),
    [
        (None, "list is not an object"),
        ({"index": 1, "snapshot": True}, "endpoints is missing or malformed: None"),
        ({"index": 1, "snapshot": True, "endpoints": [5]}, "endpoints[0] is not an object"),
        ({"index": True, "snapshot": True, "endpoints": []}, "index is missing or malformed: True"),
        ({"index": 1, "snapshot": 1, "endpoints": []}, "snapshot is missing or malformed: 1"),
    ],
)
def test_malformed_message_is_named_in_the_error(message: object, error: str) -> None:
    """In JSON, a bool is not a number, and a number is not a bool."""
    with pytest.raises(EndpointListError) as caught:
        read_endpoint_list(message)
    assert str(caught.value) == error


def test_error_quotes_the_beginning_of_a_malformed_value() -> None:
    """An error stays a single short log line, regardless of the length of the value."""
    entry = {**ENDPOINT_ENTRY, "status": "x" * 900}
    with pytest.raises(EndpointListError) as caught:
        read_endpoint_list({"index": 1, "snapshot": True, "endpoints": [entry]})
    assert str(caught.value) == "endpoints[0].status is unknown: " + "x" * 40


def test_negative_weight_counts_as_unknown() -> None:
    """A weight of 0 marks an endpoint whose capacity is unknown to discovery."""
    message = {"index": 1, "snapshot": False, "endpoints": [{**ENDPOINT_ENTRY, "weight": -1.5}]}
    (endpoint,) = read_endpoint_list(message).endpoints
    assert endpoint.entry.weight == 0


@pytest.mark.parametrize(
    ("given", "taken"), [(1e308, MAX_WEIGHT), (5e-324, MIN_WEIGHT), (10**18, MAX_WEIGHT)]
)
def test_weight_out_of_range_is_bounded_and_named_in_one_line(
    given: float, taken: float, caplog: pytest.LogCaptureFixture
) -> None:
    """Unbounded weights overflowed a float in a power, and no list with such an entry could be applied."""
    entries = [ENDPOINT_ENTRY, {**ENDPOINT_ENTRY, "name": "s-2", "weight": given}]
    update = read_endpoint_list(orjson.loads(encode_endpoint_list(7, True, *entries)))
    assert [endpoint.entry.weight for endpoint in update.endpoints] == [1.5, taken]
    (line,) = caplog.messages
    assert line == f"endpoint s-2: weight {given:g} is out of range, using {taken:g}"
