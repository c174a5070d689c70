"""Emulates cache servers, each at an address of its own, and the origin behind them.

    python -m scale_experiments.emulators.cache

The process reads commands from standard input, one JSON object per line, and writes a reply to each on
standard output. It exits when standard input ends. The commands are `StartCaches`, `GetCachesStats` and
`SetCacheMode` of `scale_experiments.emulators.messages.caches`.

Cache servers speak the router's protocol over RESP2. A cache server never fetches a key itself: it reports a
miss, and stores the key once the origin has answered the request that missed. The first request on a
connection takes `handshake_s` longer, to emulate a TLS handshake. On a connection beyond `max_connections`,
the first request is rejected and the connection is closed.

Modes of a cache server:

- "serve": requests are served.
- "drain": requests are rejected.
- "hang": requests are read and never answered.
- "dead": connections are reset, new ones are refused, and all keys are lost.
"""

from __future__ import annotations

import asyncio

from scale_experiments.emulators.cache.emulator import COMMAND_TYPES, CachesEmulator
from scale_experiments.emulators.control import serve_commands

if __name__ == "__main__":
    asyncio.run(serve_commands(CachesEmulator().handle, COMMAND_TYPES))
