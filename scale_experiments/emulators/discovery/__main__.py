"""Discovery: whole lists and watches over HTTP/1.1, for many thousands of waiting polls.

    python -m scale_experiments.emulators.discovery 127.0.1.1:0

Several processes that get the same changes under the same indices act as one discovery, at one address each.
Modes:

- "serve": polls are answered.
- "silent": polls are accepted, read and never answered.
- "refuse": all connections are reset and new ones refused.
- "busy": polls are answered by 503 after a delay.

Commands: `ReplaceList`, `ChangeList`, `SetDiscoveryMode`, `ResetUnanswered` and `GetDiscoveryStats` of
`scale_experiments.emulators.messages`.
"""

from __future__ import annotations

import asyncio
import sys

import orjson

from scale_experiments.emulators.codec import encode
from scale_experiments.emulators.control import serve_commands
from scale_experiments.emulators.discovery.emulator import COMMAND_TYPES, DiscoveryEmulator
from scale_experiments.emulators.messages.discovery import Listening


async def main(listen: str) -> None:
    """Serve at an address until standard input ends; the first line on standard output tells the address."""
    discovery = DiscoveryEmulator()
    host, _, port = listen.rpartition(":")
    discovery.address = (host, int(port))
    await discovery.listen()
    listening = Listening("{}:{}".format(*discovery.address))
    print(orjson.dumps(encode(listening)).decode(), flush=True)
    await serve_commands(discovery.handle, COMMAND_TYPES)


if __name__ == "__main__":
    asyncio.run(main(sys.argv[1]))
