"""The modules of the package as syntax trees: the names that they define, and their strings."""

from __future__ import annotations

import ast
import importlib
import inspect
import pkgutil
from collections.abc import Iterator
from dataclasses import dataclass
from functools import cache
from types import ModuleType

import cache_router

ANY_VALUE = "{}"  # placeholder for a value in the text of a message


@dataclass(frozen=True)
class Source:
    """A module of the package with its text and syntax tree."""

    module: ModuleType
    text: str
    tree: ast.Module

    def top_level_names(self) -> set[str]:
        """Return the names of the classes, functions and constants that the module defines."""
        names: set[str] = set()
        for node in self.tree.body:
            if isinstance(node, ast.ClassDef | ast.FunctionDef | ast.AsyncFunctionDef):
                names.add(node.name)
            targets = node.targets if isinstance(node, ast.Assign) else [getattr(node, "target", None)]
            names |= {target.id for target in targets if isinstance(target, ast.Name)}
        return names


def load_sources() -> dict[str, Source]:
    """Import all modules of the package, and return them by name."""
    found: dict[str, Source] = {}
    for info in pkgutil.walk_packages(cache_router.__path__, "cache_router."):
        module = importlib.import_module(info.name)
        text = inspect.getsource(module)
        found[info.name] = Source(module, text, ast.parse(text))
    return found


SOURCES = load_sources()


def source_of_path(path: str) -> Source:
    """Return the module at a path relative to the package."""
    return SOURCES["cache_router." + path.removesuffix(".py").replace("/", ".")]


@cache
def instance_attributes(owner: type) -> frozenset[str]:
    """Return the attributes that the methods of a class set on `self`."""
    nodes = ast.walk(ast.parse(inspect.getsource(owner)))
    return frozenset(
        node.attr
        for node in nodes
        if isinstance(node, ast.Attribute)
        and isinstance(node.ctx, ast.Store)
        and ast.unparse(node.value) == "self"
    )


def has_member(owner: object, name: str) -> bool:
    """Return whether an object or, for a class, one of its instances has an attribute."""
    if hasattr(owner, name):
        return True
    return isinstance(owner, type) and (name in owner.__annotations__ or name in instance_attributes(owner))


@dataclass(frozen=True)
class Definition:
    """The definition of a name on a page: its module, its owner in that module, and its own name."""

    source: Source
    owner: object
    name: str

    @property
    def value(self) -> object:
        """The value of a constant, or the default of a field or property of a class."""
        holder = self.owner() if isinstance(self.owner, type) else self.owner
        return getattr(holder, self.name)


def definitions(name: str) -> list[Definition]:
    """Return the definitions of a dotted name.

    It has the form `Class.member` or `NAME`; either may follow the last part of the module's name.
    """
    first, *members = name.split(".")
    found: list[Definition] = []
    for source in SOURCES.values():
        path = [first, *members]
        if first == source.module.__name__.rpartition(".")[2] and members:
            path = members
        if path[0] not in source.top_level_names():
            continue
        if len(path) == 1:
            found.append(Definition(source, source.module, path[0]))
        elif len(path) == 2 and has_member(getattr(source.module, path[0]), path[1]):
            found.append(Definition(source, getattr(source.module, path[0]), path[1]))
    return found


def is_defined_in(path: str, name: str) -> bool:
    """Return whether the module at a path, relative to the package, defines a name."""
    return source_of_path(path) in [found.source for found in definitions(name)]


def strings(source: Source) -> Iterator[str]:
    """Yield the strings and bytes of a module; an f-string has `{}` for each part that is not constant."""
    for node in ast.walk(source.tree):
        if isinstance(node, ast.JoinedStr):
            yield "".join(_part_text(source.module, part) for part in node.values)
        elif isinstance(node, ast.Constant) and isinstance(node.value, str | bytes):
            text = node.value.decode("latin-1") if isinstance(node.value, bytes) else node.value
            yield text.rstrip("\r\n")


def _part_text(module: ModuleType, part: ast.expr) -> str:
    """Return a part of an f-string: its text, the value of a string constant of the module, or `{}`."""
    if isinstance(part, ast.Constant):
        return str(part.value)
    constant = (
        getattr(module, ast.unparse(part.value), None) if isinstance(part, ast.FormattedValue) else None
    )
    return constant if isinstance(constant, str) else ANY_VALUE
