"""The decisions and the network code of a router in front of a fleet of cache servers."""

from cache_router.decisions.router import Router

__all__ = ["Router"]
