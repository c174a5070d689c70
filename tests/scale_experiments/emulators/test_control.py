"""An experiment sends commands to emulators in other processes and receives their replies or errors."""

from __future__ import annotations

import subprocess
import sys
from collections.abc import Iterator
from contextlib import contextmanager, suppress

import pytest

from scale_experiments.emulators.control import ControlClient, ControlError, request_all
from scale_experiments.emulators.launch import (
    CACHES_MODULE,
    CLIENTS_MODULE,
    DISCOVERY_MODULE,
    HOLLOW_ROUTERS_MODULE,
)
from scale_experiments.emulators.messages.caches import CachesStats, GetCachesStats, SetCacheMode
from scale_experiments.emulators.messages.clients import ClientsStats, GetClientsStats
from scale_experiments.emulators.messages.common import Done, ProcessUsage
from scale_experiments.emulators.messages.discovery import (
    ChangeList,
    DiscoveryStats,
    GetDiscoveryStats,
    Listening,
    ReplaceList,
)
from scale_experiments.emulators.messages.routers import GetRoutersStats, RoutersStats

REPLY_TIMEOUT_S = 20.0
STOP_TIMEOUT_S = 10.0
Stats = GetCachesStats | GetClientsStats | GetDiscoveryStats | GetRoutersStats


@contextmanager
def control_client(
    *arguments: str, name: str = "emulator", reply_timeout_s: float = REPLY_TIMEOUT_S
) -> Iterator[ControlClient]:
    """Run Python with arguments and yield the client of its control channel; kill the process at the end."""
    process = subprocess.Popen([sys.executable, *arguments], stdin=subprocess.PIPE, stdout=subprocess.PIPE)
    try:
        yield ControlClient(process, name, reply_timeout_s)
    finally:
        process.kill()
        process.wait()
        assert process.stdin is not None
        assert process.stdout is not None
        process.stdout.close()
        with suppress(BrokenPipeError):  # the buffer may hold a command that could not be sent
            process.stdin.close()


@pytest.mark.parametrize(
    ("module", "command", "reply_type"),
    [
        (CACHES_MODULE, GetCachesStats(), CachesStats),
        (CLIENTS_MODULE, GetClientsStats(), ClientsStats),
        (HOLLOW_ROUTERS_MODULE, GetRoutersStats(), RoutersStats),
    ],
)
def test_emulator_replies_until_its_standard_input_ends(
    module: str, command: Stats, reply_type: type[ProcessUsage]
) -> None:
    with control_client("-m", module) as client:
        reply = client.request(command)
        assert type(reply) is reply_type
        assert reply.resident_bytes > 0
        assert client.process.stdin is not None
        client.process.stdin.close()
        assert client.process.wait(STOP_TIMEOUT_S) == 0


def test_discoveries_send_their_addresses_and_execute_the_same_commands() -> None:
    with (
        control_client("-m", DISCOVERY_MODULE, "127.0.0.1:0") as first,
        control_client("-m", DISCOVERY_MODULE, "127.0.0.1:0") as second,
    ):
        addresses = [client.receive(Listening).address for client in (first, second)]
        assert all(address.startswith("127.0.0.1:") for address in addresses)
        assert addresses[0] != addresses[1]
        assert len(request_all([first, second], ReplaceList(7, []))) == 2
        stats = request_all([first, second], GetDiscoveryStats())
        assert [each.index for each in stats] == [7, 7]
        assert all(type(each) is DiscoveryStats for each in stats)


def test_command_that_fails_is_reported_and_the_next_one_is_executed() -> None:
    with control_client("-m", DISCOVERY_MODULE, "127.0.0.1:0", name="discovery") as client:
        client.receive(Listening)
        client.request(ReplaceList(7, []))
        with pytest.raises(ControlError, match=r"discovery: .*ValueError: change 9 does not follow 7"):
            client.request(ChangeList(9, []))
        client.request(ChangeList(8, []))
        assert client.request(GetDiscoveryStats()).index == 8


def test_emulator_that_sends_no_reply_in_time_is_an_error() -> None:
    with (
        control_client("-c", "input(); input()", reply_timeout_s=0.05) as client,
        pytest.raises(ControlError, match=r"emulator sent no reply within 0\.05 s"),
    ):
        client.request(GetCachesStats())


def test_emulator_that_has_exited_is_an_error() -> None:
    with control_client("-c", "input()") as client:
        with pytest.raises(ControlError, match="emulator has exited"):
            client.request(GetCachesStats())
        client.process.wait(STOP_TIMEOUT_S)
        with pytest.raises(ControlError, match="emulator has exited"):
            client.send(SetCacheMode(["a"], "dead"))


def test_replies_that_arrive_together_or_in_parts_are_received_one_by_one() -> None:
    program = "\n".join(
        [
            "import sys, time",
            "sys.stdout.write('{}\\n{}\\n{'); sys.stdout.flush(); time.sleep(0.05); sys.stdout.write('}\\n')",
            "sys.stdout.flush(); input()",
        ]
    )
    with control_client("-c", program) as client:
        assert [client.receive(Done) for _ in range(3)] == [Done()] * 3


def test_process_without_pipes_is_rejected() -> None:
    process = subprocess.Popen([sys.executable, "-c", ""], stdout=subprocess.DEVNULL)
    with pytest.raises(ValueError, match="emulator must be started with pipes"):
        ControlClient(process, "emulator", REPLY_TIMEOUT_S)
    process.wait(STOP_TIMEOUT_S)
