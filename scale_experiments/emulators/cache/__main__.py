"""Page caches, some hundreds in one process at an address each, and the origin behind them.

    python -m scale_experiments.emulators.cache

A cache only stores: it reports a miss, and has the key once the origin has answered that request. The first
request on a connection takes `handshake_s` longer, as TLS would. A connection over the limit is rejected
at its first request. Modes of a cache:

- "serve": requests are served.
- "drain": requests are rejected.
- "hang": requests are read and never answered.
- "dead": connections are reset, new ones refused, and all keys are lost.

Commands: `StartCaches`, `GetCachesStats` and `SetCacheMode` of `scale_experiments.emulators.messages`.
"""

from __future__ import annotations

import asyncio

from scale_experiments.emulators.cache.emulator import COMMAND_TYPES, CachesEmulator
from scale_experiments.emulators.control import serve_commands

if __name__ == "__main__":
    asyncio.run(serve_commands(CachesEmulator().handle, COMMAND_TYPES))
