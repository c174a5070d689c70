"""The messages of the emulators' control channel keep their JSON keys and values."""

from __future__ import annotations

from typing import Any

import pytest

from scale_experiments.emulators.codec import (
    Command,
    UnknownCommandError,
    decode,
    decode_command,
    encode,
    encode_command,
)
from scale_experiments.emulators.discovery.emulator import DiscoveryEmulator
from scale_experiments.emulators.messages.caches import CachesStats, SetCacheMode, StartCaches
from scale_experiments.emulators.messages.clients import GetClientsStats, PauseClients
from scale_experiments.emulators.messages.discovery import (
    ChangeList,
    DiscoveryStats,
    ResetUnanswered,
    SetDiscoveryMode,
)
from scale_experiments.emulators.messages.routers import GetUpdateTimes
from tests.support.endpoint_lists import ENDPOINT_ENTRY


@pytest.mark.parametrize(
    ("command", "message"),
    [
        (
            StartCaches(
                value_bytes=3,
                service_s=0.1,
                handshake_s=0.2,
                idle_s=9.0,
                max_connections=2,
                max_keys=4,
                warm=True,
                addresses={"a": "127.2.0.1:6379"},
                origin="127.3.0.1:0",
                origin_service_s=0.3,
                origin_max_concurrent=5,
            ),
            {
                "do": "start",
                "value_bytes": 3,
                "service_s": 0.1,
                "handshake_s": 0.2,
                "idle_s": 9.0,
                "most_connections": 2,
                "most_keys": 4,
                "warm": True,
                "addresses": {"a": "127.2.0.1:6379"},
                "origin": "127.3.0.1:0",
                "origin_service_s": 0.3,
                "origin_most_at_once": 5,
            },
        ),
        (SetCacheMode(["a"], "hang"), {"do": "mode", "names": ["a"], "mode": "hang"}),
        (GetClientsStats(restart=True), {"do": "stats", "restart": True}),
        (PauseClients(), {"do": "rest"}),
        (ChangeList(7, [ENDPOINT_ENTRY]), {"do": "change", "index": 7, "endpoints": [ENDPOINT_ENTRY]}),
        (SetDiscoveryMode("silent"), {"do": "silent"}),
        (SetDiscoveryMode("busy", 1.5), {"do": "busy", "after_s": 1.5}),
        (ResetUnanswered(), {"do": "reset_held"}),
        (GetUpdateTimes(7), {"do": "had", "index": 7}),
    ],
)
def test_command_keeps_its_form_as_json(command: Command[Any], message: dict[str, Any]) -> None:
    assert encode_command(command) == message
    assert decode_command({message["do"]: type(command)}, message) == command


def test_stats_keep_their_form_as_json_and_are_read_again() -> None:
    usage = {"at": 1.0, "cpu_s": 0.5, "resident_bytes": 10, "descriptors": 3}
    discovery = DiscoveryEmulator().stats()
    assert set(encode(discovery)) == {
        *usage,
        "calls",
        "connections",
        "answered",
        "refused",
        "bytes_in",
        "bytes_out",
        "told_s",
        "told_calls",
        "index",
        "open",
        "waiting",
        "bucket_s",
        "over_time",
    }
    assert decode(DiscoveryStats, encode(discovery)) == discovery
    counters = {"accepted": 1, "handshakes": 2, "requests": 3, "hits": 4, "missed": 5, "busy": 6}
    cache = {**counters, "open_sum": 7.0, "most_open": 8, "open": 9}
    origin = {"requests": 1, "turned_away": 2, "connections": 3, "open": 4, "most_open": 5}
    message = {**usage, "time": 2.0, "samples": 4, "caches": {"a": cache}, "origin": origin}
    stats = decode(CachesStats, message)
    assert (stats.caches["a"].misses, stats.caches["a"].rejected, stats.origin.rejected) == (5, 6, 2)
    assert encode(stats) == message


def test_command_that_is_unknown_or_lacks_a_field_is_rejected() -> None:
    with pytest.raises(UnknownCommandError, match="no such command: stop"):
        decode_command({"had": GetUpdateTimes}, {"do": "stop"})
    with pytest.raises(KeyError, match="index"):
        decode_command({"had": GetUpdateTimes}, {"do": "had"})
