"""Emulates discovery over HTTP/1.1: whole endpoint lists, and watches that wait for the next change.

    python -m scale_experiments.emulators.discovery 127.0.1.1:0

The argument is the address to listen at; port 0 chooses a free one. The first line on standard output is the
address that was chosen, as `Listening`. The process then reads commands from standard input, one JSON object
a line, and writes a reply to each. It ends with its standard input. The commands are `ReplaceList`,
`ChangeList`, `SetDiscoveryMode`, `ResetUnanswered` and `GetDiscoveryStats` of
`scale_experiments.emulators.messages.discovery`.

Several processes that receive the same changes under the same indices act as one discovery that has an
address for each process.

Modes:

- "serve": polls are answered.
- "silent": polls are accepted, read and never answered.
- "refuse": all connections are reset and new ones are refused.
- "busy": polls are answered by 503 after a delay.
"""

from __future__ import annotations

import asyncio
import sys

import orjson

from scale_experiments.emulators.address import format_address, parse_address
from scale_experiments.emulators.codec import encode
from scale_experiments.emulators.control import serve_commands
from scale_experiments.emulators.discovery.emulator import COMMAND_TYPES, DiscoveryEmulator
from scale_experiments.emulators.messages.discovery import Listening


async def main(listen: str) -> None:
    """Serve at an address until standard input ends.

    Raises:
        ValueError: The port of `listen` is not a number.
        OSError: The address cannot be used.
    """
    discovery = DiscoveryEmulator(parse_address(listen))
    await discovery.listen()
    listening = Listening(format_address(discovery.address))
    print(orjson.dumps(encode(listening)).decode(), flush=True)
    await serve_commands(discovery.handle, COMMAND_TYPES)


if __name__ == "__main__":
    asyncio.run(main(sys.argv[1]))
