"""References of capacity.toml to the router's code and to numbers of target.toml."""

from __future__ import annotations

import importlib
from typing import Any

from scale_experiments.capacity.paths import TARGET_FILE
from scale_experiments.runs.input_files import InputError
from scale_experiments.target import Target


def resolve_in_code(reference: str, location: str) -> Any:
    """Return the object of the code that module:name refers to.

    The page names the code that carries a demand, and that code must exist.

    Raises: InputError, with the location, if there is no such object.
    """
    module, _, path = reference.partition(":")
    try:
        resolved: Any = importlib.import_module(module)
        for name in path.split("."):
            resolved = getattr(resolved, name)
    except (ImportError, AttributeError, ValueError) as e:
        raise InputError(f"{location}: must be module:name of existing code, not {reference!r}: {e}") from e
    return resolved


def resolve_in_target(target: Target, reference: str, location: str) -> float:
    """Return the number of target.toml at table.name or table.name.index; raises InputError without one."""
    resolved: Any = target
    for name in reference.split("."):
        resolved = _element(resolved, name)
    if not isinstance(resolved, (int, float)):
        raise InputError(f"{location}: must name a number of {TARGET_FILE.name}, not {reference!r}")
    return float(resolved)


def _element(container: Any, name: str) -> Any:
    if name.isdigit() and isinstance(container, tuple):
        index = int(name)
        return container[index] if index < len(container) else None
    return getattr(container, name, None)
