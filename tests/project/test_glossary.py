"""The glossary, compared with the configuration page, the simulator's adapter and the sources."""

from __future__ import annotations

import ast
import re
from collections.abc import Iterator
from pathlib import Path

import pytest

ROOT = Path(__file__).parents[2]
PAGE = (ROOT / "docs" / "GLOSSARY.md").read_text()
CONFIGURATION_PAGE = (ROOT / "docs" / "CONFIGURATION.md").read_text()
SOURCES = {path: path.read_text() for path in (ROOT / "cache_router").rglob("*.py")}
SIMULATOR_MODULES = ("simulator_adapter", "simulator_messages", "simulator_wire")
MESSAGES = SOURCES[ROOT / "cache_router" / "simulator_messages.py"]
SIMULATOR = [SOURCES[ROOT / "cache_router" / f"{name}.py"] for name in SIMULATOR_MODULES]
CODE_SPAN = re.compile(r"`([^`]+)`")


def section(title: str) -> str:
    """Return the text of one section of the glossary."""
    return PAGE.partition(f"\n## {title}\n")[2].partition("\n## ")[0]


def documented_words(text: str) -> list[str]:
    """Return the code spans in the first cells of the table rows of a text."""
    rows = [line for line in text.splitlines() if line.startswith("| `")]
    return [word for row in rows for word in CODE_SPAN.findall(row.split("|")[1])]


def string_constants(source: str) -> set[str]:
    """Return the string constants of a module, and its bytes constants as text."""
    values = (node.value for node in ast.walk(ast.parse(source)) if isinstance(node, ast.Constant))
    return {v.decode("latin-1") if isinstance(v, bytes) else v for v in values if isinstance(v, str | bytes)}


def wire_nodes(node: ast.AST) -> Iterator[ast.expr | None]:
    """Yield the direct children of a syntax node that may be words of the simulator's messages."""
    if isinstance(node, ast.Assign):
        yield node.value
    elif isinstance(node, ast.Tuple):
        yield from node.elts
    elif isinstance(node, ast.Dict):
        yield from node.keys
        yield from node.values
    elif isinstance(node, ast.Set):
        yield from node.elts
    elif isinstance(node, ast.Subscript):
        yield node.slice
    elif isinstance(node, ast.Compare):
        yield from node.comparators
    elif isinstance(node, ast.Call) and isinstance(node.func, ast.Attribute) and node.func.attr == "get":
        yield from node.args


def wire_words() -> set[str]:
    """Return the words of the simulator's messages that the adapter reads or writes."""
    nodes = [node for source in SIMULATOR for node in ast.walk(ast.parse(source))]
    message_fields = [n.target for n in ast.walk(ast.parse(MESSAGES)) if isinstance(n, ast.AnnAssign)]
    expressions = [e for node in nodes for e in wire_nodes(node)]
    constants = {e.value for e in expressions if isinstance(e, ast.Constant) and isinstance(e.value, str)}
    fields = {target.id for target in message_fields if isinstance(target, ast.Name)}
    # Neither the default of an absent field nor the name of the main module is a word of the messages
    return (constants | fields) - {"", "__main__"}


def test_glossary_has_each_key_of_the_configuration() -> None:
    """The first table of the section lists the keys, and the second one their values."""
    keys, _, values = section("Configuration").partition("\n| value |")
    documented = {path.rpartition(".")[2] for path in documented_words(CONFIGURATION_PAGE)}
    assert sorted(documented_words(keys)) == sorted(documented)
    assert set(documented_words(values)) <= string_constants("\n".join(SOURCES.values()))


def test_glossary_has_each_word_of_the_simulator() -> None:
    glossary = documented_words(section("The simulator"))
    assert len(glossary) == len(set(glossary))
    assert set(glossary) == wire_words()


@pytest.mark.parametrize("title", ["RESP: clients and cache servers", "HTTP: discovery and the origin"])
def test_wire_words_of_the_glossary_are_in_the_sources(title: str) -> None:
    constants = [constant for source in SOURCES.values() for constant in string_constants(source)]
    listed = documented_words(section(title))
    assert listed
    for word in listed:
        pattern = re.compile(rf"(?<![\w-]){re.escape(word)}(?![\w-])", re.IGNORECASE)
        assert any(pattern.search(constant) for constant in constants), word


def test_terms_of_the_glossary_are_names_of_the_code() -> None:
    """Each term in a code span, such as `Reject.retry_after`, is a name in the sources."""
    names = set(re.findall(r"\w+", "\n".join(SOURCES.values())))
    rows = [line for line in PAGE.splitlines() if line.startswith("| ")]
    terms = [term for row in rows for cell in row.split("|")[2:] for term in CODE_SPAN.findall(cell)]
    assert len(terms) > 100
    assert not [term for term in terms if not set(term.split(".")) <= names]
