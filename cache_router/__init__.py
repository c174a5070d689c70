"""A router in front of a fleet of cache servers: its decisions and its network code."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from cache_router.decisions.router import Router

__all__ = ["Router"]


def __getattr__(name: str) -> object:
    """Import `Router` on first use, because the program must block signals before it imports anything else.

    Raises:
        AttributeError: the package has no attribute of this name.
    """
    if name != "Router":
        raise AttributeError(f"module {__name__!r} has no attribute {name!r}")
    from cache_router.decisions.router import Router  # noqa: PLC0415  # deferred on purpose

    return Router
