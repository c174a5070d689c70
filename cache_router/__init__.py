"""cache_router: the decisions of a router in front of a fleet of cache servers."""

from cache_router import interface
from cache_router.decisions.router import Router

__all__ = ["Router", "interface"]
