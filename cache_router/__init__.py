"""A router in front of a fleet of cache servers: its decisions and its network code."""

from cache_router.decisions.router import Router

__all__ = ["Router"]
