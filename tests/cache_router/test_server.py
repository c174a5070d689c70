"""The program: its startup, its signals and its shutdown."""

from __future__ import annotations

import asyncio
import gc
import os
import signal
import socket
import warnings
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from pathlib import Path
from typing import Any

import orjson
import pytest

from cache_router import server
from cache_router.config import read_config
from cache_router.program import main
from tests.support.coroutine_tests import DEFAULT_TIME_LIMIT
from tests.support.endpoint_lists import ENDPOINT_ENTRY, encode_endpoint_list
from tests.support.loopback import HIT, Clients, Peer, encode_http_response, encode_read, format_address
from tests.support.loopback_router import read_values
from tests.support.router_process import (
    CACHED_LIST,
    VALID_CONFIG,
    config_with_cache,
    listen_address,
    router_process,
)
from tests.support.settings_json import SETTINGS_JSON


def exit_status(config: bytes | None, path: Path, monkeypatch: pytest.MonkeyPatch) -> int:
    """Run the program with a configuration that it rejects, or None for no file; return its exit status."""
    if config is not None:
        path.write_bytes(config)
    monkeypatch.setenv("RELAY_CONFIG", str(path))
    status = main()
    # A listener that could not be bound keeps its socket until the process exits. The test process
    # does not exit, so the socket is closed here.
    with warnings.catch_warnings():
        warnings.simplefilter("ignore", ResourceWarning)
        gc.collect()
    return status


@pytest.mark.parametrize(
    ("change", "field"),
    [
        ({"listen": "here"}, "listen"),
        ({"listen": None}, "listen"),
        ({"discovery": "127.0.0.1:x"}, "discovery"),
        ({"seed": "xyz"}, "seed"),
        ({"limits": {"sockets": "many"}}, "limits.sockets"),
        ({"limits": 3}, "limits"),
        ({"listen": "127.0.0.1:\u00b2"}, "listen"),  # superscript two: a digit, but not a decimal one
        ({"settings": {**SETTINGS_JSON, "skus": 3}}, "skus"),
        ({"settings": {**SETTINGS_JSON, "skus": ["std", 4]}}, "skus"),
        ({"settings": {**SETTINGS_JSON, "limits": {"mayCancel": "no"}}}, "limits.mayCancel"),
        ({"settings": {**SETTINGS_JSON, "limits": {"secondCopies": 3}}}, "limits.secondCopies"),
        ({"settings": {**SETTINGS_JSON, "classes": [{"name": "x", "aim": 0}]}}, "classes[x].aim"),
        (
            {"settings": {**SETTINGS_JSON, "classes": [{"name": "x", "aim": 1, "giveUp": 0}]}},
            "classes[x].giveUp",
        ),
        ({"settings": {**SETTINGS_JSON, "classes": [{"name": "x"}, {"name": "x"}]}}, "classes[1].name"),
        (
            {"known": {**CACHED_LIST, "endpoints": [{**ENDPOINT_ENTRY, "address": "127.0.0.1:\u00b2"}]}},
            "known.endpoints[0]",
        ),
        ({"known": None}, "known"),
        ({"known": {**CACHED_LIST, "index": "x"}}, "known.index"),
        ({"known": {**CACHED_LIST, "endpoints": [{}]}}, "known.endpoints[0].status"),
        ({"settings": None}, "conf"),
        ({"settings": {**SETTINGS_JSON, "classes": []}}, "classes"),
        ({"settings": {**SETTINGS_JSON, "limits": {"dialTimeout": "x"}}}, "limits.dialTimeout"),
    ],
)
def test_invalid_configuration_fails_the_start_with_one_line(
    change: dict[str, Any],
    field: str,
    tmp_path: Path,
    monkeypatch: pytest.MonkeyPatch,
    capsys: pytest.CaptureFixture[str],
) -> None:
    """The line names the file and the invalid field in it."""
    config = orjson.dumps({**VALID_CONFIG, **change})
    path = tmp_path / "config.json"
    assert exit_status(config, path, monkeypatch) == 2
    (line,) = capsys.readouterr().err.splitlines()
    assert line.startswith(f"cache_router: {path}: ")
    assert field in line.removeprefix(f"cache_router: {path}: ")


@pytest.mark.parametrize(("value", "state"), [(None, "not set"), ("", "empty")])
def test_missing_configuration_variable_fails_the_start_with_one_line(
    value: str | None, state: str, monkeypatch: pytest.MonkeyPatch, capsys: pytest.CaptureFixture[str]
) -> None:
    """The line says what the variable is for."""
    monkeypatch.delenv("RELAY_CONFIG", raising=False)
    if value is not None:
        monkeypatch.setenv("RELAY_CONFIG", value)
    assert main() == 2
    (line,) = capsys.readouterr().err.splitlines()
    assert line == f"cache_router: RELAY_CONFIG is {state}: it names the path of the configuration file"


@pytest.mark.parametrize("text", [None, b"", b"{", b"[]"])
def test_unreadable_configuration_fails_the_start_with_one_line(
    text: bytes | None, tmp_path: Path, monkeypatch: pytest.MonkeyPatch, capsys: pytest.CaptureFixture[str]
) -> None:
    """A missing or malformed file is reported by its path and without a traceback."""
    path = tmp_path / "config.json"
    assert exit_status(text, path, monkeypatch) == 2
    (line,) = capsys.readouterr().err.splitlines()
    assert str(path) in line


def test_listen_host_that_cannot_be_encoded_fails_the_start_with_one_line(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, capsys: pytest.CaptureFixture[str]
) -> None:
    """The address is well-formed, so that only binding it reveals the error."""
    config = orjson.dumps({**VALID_CONFIG, "listen": "a" * 70 + ":6379"})
    assert exit_status(config, tmp_path / "config.json", monkeypatch) == 2
    (line,) = capsys.readouterr().err.splitlines()
    assert line.startswith("cache_router: listen: ")


def test_listen_address_in_use_fails_the_start_with_one_line(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, capsys: pytest.CaptureFixture[str]
) -> None:
    """The last line names the field of the configuration."""
    with socket.create_server(("127.0.0.1", 0)) as occupied:
        config = orjson.dumps({**VALID_CONFIG, "listen": format_address(occupied.getsockname())})
        assert exit_status(config, tmp_path / "config.json", monkeypatch) == 2
    assert capsys.readouterr().err.splitlines()[-1].startswith("cache_router: listen: ")


@pytest.mark.parametrize("mode", ["subscribe", "automatic"])
async def test_sigterm_ends_the_process_once_all_requests_are_answered(
    clients: Clients, mode: str, tmp_path: Path
) -> None:
    """Exiting too early loses accepted requests; too late, SIGKILL ends those still in flight."""
    async with (
        Peer() as cache,
        Peer() as discovery,
        router_process(config_with_cache(cache, discovery, mode), tmp_path / "config.json") as process,
    ):
        watch = await discovery.accept_connection()
        assert "after=1&" in (await watch.read_http())[0]
        watch.write(encode_http_response("200 OK", encode_endpoint_list(2, False)))
        address = await listen_address(process.stderr)
        client = await clients.connect_and_ping(address)
        client.write(encode_read("r1"))
        cache_link = await cache.accept_connection()
        await cache_link.read_resp()
        process.send_signal(signal.SIGTERM)
        assert process.stderr is not None
        line = await process.stderr.readline()
        assert b" INFO cache_router.server draining " + format_address(address).encode() + b": " in line
        late = await clients.connect_and_ping(address)
        assert await late.closed_by_peer()
        cache_link.write(HIT)
        assert await client.read_resp() == b"value"
        async with asyncio.timeout(DEFAULT_TIME_LIMIT):
            assert await process.wait() == 0


@pytest.mark.parametrize("mode", ["subscribe", "automatic"])
async def test_sighup_moves_the_watch_to_the_new_address_under_load(
    clients: Clients, mode: str, tmp_path: Path
) -> None:
    """An unhandled SIGHUP would kill the router; a watch of the old address would miss later drains."""
    path = tmp_path / "config.json"
    async with Peer() as cache, Peer() as first, Peer() as second, Peer() as third:
        config = config_with_cache(cache, first, mode)
        async with router_process(config, path) as process:
            watch, address = await first.accept_connection(), await listen_address(process.stderr)
            await watch.read_http()
            client = await clients.connect_and_ping(address)
            client.write(encode_read("r0"))
            for number, discovery in enumerate((second, third), 1):
                path.write_bytes(orjson.dumps({**config, "discovery": discovery.address}))
                process.send_signal(signal.SIGHUP)
                poll = await discovery.accept_connection()
                assert (await poll.read_http())[0] == "GET /registry/instances HTTP/1.1"
                assert await watch.closed_by_peer()
                poll.write(
                    encode_http_response(
                        "200 OK", encode_endpoint_list(7, True, *config["known"]["endpoints"])
                    )
                )
                watch = await discovery.accept_connection()
                assert "after=7&" in (await watch.read_http())[0]
                await cache.serve(HIT)
                assert await client.read_resp() == b"value"
                client.write(encode_read(f"r{number}"))
            path.write_bytes(b"{")
            process.send_signal(signal.SIGHUP)
            assert process.stderr is not None
            while b"configuration rejected" not in await process.stderr.readline():
                assert not process.stderr.at_eof()
            await cache.serve(HIT)
            assert await client.read_resp() == b"value"
            watch.write(encode_http_response("200 OK", encode_endpoint_list(8, False)))
            assert "after=8&" in (await (await third.accept_connection()).read_http())[0]


@asynccontextmanager
async def serving_in_process(config: dict[str, Any], path: Path) -> AsyncIterator[tuple[str, int]]:
    """Run the program in this process, and yield the address that it will listen on."""
    with socket.create_server(("127.0.0.1", 0)) as free:
        address: tuple[str, int] = free.getsockname()
    config = {**config, "listen": format_address(address)}
    serving = asyncio.create_task(server.serve(read_config(orjson.dumps(config)), str(path)))
    try:
        yield address
    finally:
        os.kill(os.getpid(), signal.SIGTERM)
        await serving


async def test_router_listens_only_after_its_first_endpoint_list(
    clients: Clients, tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Drains in discovery's list count as known from the start, and the cached list may be outdated."""
    monkeypatch.setattr(server, "FIRST_LIST_TIMEOUT", DEFAULT_TIME_LIMIT)

    async with Peer() as draining, Peer() as ready, Peer() as agent:
        config = config_with_cache(draining, agent, "automatic")
        draining_entry = config["known"]["endpoints"][0]
        ready_entry = {**draining_entry, "name": "s-2", "address": ready.address}
        config["known"]["endpoints"].append(ready_entry)
        async with serving_in_process(config, tmp_path / "config.json") as address:
            poll = await agent.accept_connection()
            # The first poll has no wait, so that discovery answers it even if nothing has changed.
            assert "after=1&wait_ms=0 " in (await poll.read_http())[0]
            with pytest.raises(ConnectionRefusedError):
                await asyncio.open_connection(*address)
            update = encode_endpoint_list(2, False, {**draining_entry, "status": "terminating"})
            poll.write(encode_http_response("200 OK", update))
            budget = read_config(orjson.dumps(config)).settings.watch_budget
            poll = await agent.accept_connection()
            assert f"after=2&wait_ms={int(budget.long_poll_wait * 1000)} " in (await poll.read_http())[0]
            client = await clients.connect_and_ping(address)
            await read_values(client, ready, 8)
            assert draining.links.empty()
            client.close()


async def test_router_serves_from_the_cached_list_while_discovery_is_silent(
    clients: Clients, tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Discovery may be unavailable for long; the cached list is then the newest one known."""
    monkeypatch.setattr(server, "FIRST_LIST_TIMEOUT", 0.01)

    async with (
        Peer() as cache,
        Peer() as agent,
        serving_in_process(config_with_cache(cache, agent, "automatic"), tmp_path / "config.json") as address,
    ):
        await (await agent.accept_connection()).read_http()
        while True:
            try:
                client = await clients.connect_and_ping(address)
                break
            except ConnectionRefusedError:
                await asyncio.sleep(0)
        client.write(encode_read("r1"))
        link = await cache.accept_connection()
        await link.read_resp()
        link.write(HIT)
        assert await client.read_resp() == b"value"
        client.close()
