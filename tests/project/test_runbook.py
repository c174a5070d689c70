"""The runbook and the architecture page, held against the sources: names, values, settings, log lines."""

from __future__ import annotations

import ast
import importlib
import inspect
import pkgutil
import re
import tomllib
from collections.abc import Callable, Iterator
from dataclasses import dataclass
from functools import cache
from pathlib import Path
from types import ModuleType

import pytest

import cache_router
from cache_router.decisions.actions import LogMessage
from cache_router.decisions.events import EndpointUpdate, EndpointUpdateKind
from cache_router.decisions.router import Router
from cache_router.descriptor_budget import DescriptorBudget
from cache_router.settings import RequestClass, Settings
from cache_router.shutdown_schedule import ShutdownSchedule

ROOT = Path(__file__).parents[2]
DOCS = ROOT / "docs"
PACKAGE = ROOT / "cache_router"
PAGES = {name: (DOCS / name).read_text() for name in ("RUNBOOK.md", "ARCHITECTURE.md")}
RUNBOOK = PAGES["RUNBOOK.md"]
ARCHITECTURE = PAGES["ARCHITECTURE.md"]
CONFIGURATION = (DOCS / "CONFIGURATION.md").read_text()
# words of the configuration and of the wire; both pages are held against the program by tests of their own
LISTED_WORDS = CONFIGURATION + (DOCS / "GLOSSARY.md").read_text()
COMMAND_PREFIXES = ("curl ", "ss -", "ulimit ", "python -m scale_experiments", "python -B -m cache_router")
# words that belong to Python or to the platform
FOREIGN_WORDS = {
    "asyncio",
    "ConnectionRefusedError",
    "JSONDecodeError",
    "OverflowError",
    "TimeoutError",
    "Too many open files",
}
PLACEHOLDER = re.compile(r"\b(?:ADDRESS|COUNT|ERROR|FIELD|ID|PATH|REASON|SECONDS|SERVER|STATE|VALUE)\b")
FORMAT_DIRECTIVE = re.compile(r"%(?:\.\d+)?[dfgrsb]")
HOLE = "{}"
LEADS = ["Seen", "Log", "File and state", "Settings and constants", "Not to be confused with", "What to do"]
ALARM_COUNT = 14
# words of a unit that state no quantity
UNIT_FILLERS = {"a", "at", "each", "for", "of", "the", "times"}
UNIT_ABBREVIATIONS = {"s": "second", "ms": "_ms"}
QUANTITY = re.compile(r"`([A-Za-z_][\w.]*)` \((\d[\d.]*)(?: to (\d[\d.]*))?(?: ([^();,]+))?[);,]")
SETTING = re.compile(r"`([\w.\[\]]+)` \(`?([^`(),;]+)`?, `((?:Config|Settings|RequestClass)\.\w+)`")
FILE_AND_NAME = re.compile(r"`([\w/]+\.py)`, `([A-Za-z][\w.]*)`(?!\.py)")
BRACKETED_SETTING = re.compile(r"`((?:Settings|RequestClass)\.\w+)`\s+\[`([\w.\[\]]+)`\]")


def flat(text: str) -> str:
    """Return a page without its drawings, each run of white space as one space."""
    return re.sub(r"\s+", " ", re.sub(r"```.*?```", "", text, flags=re.DOTALL))


def code_spans(text: str) -> list[str]:
    """Return the texts in code marks."""
    return re.findall(r"`([^`]+)`", flat(text))


def table_rows(text: str, header: str) -> list[list[str]]:
    """Return the cells of the rows of all tables with a header, such as `| message | module |`."""
    rows: list[list[str]] = []
    is_inside = False
    for line in (line.strip() for line in text.splitlines()):
        if line == header:
            is_inside = True
        elif not line.startswith("|"):
            is_inside = False
        elif is_inside and not line.startswith("| ---"):
            rows.append([cell.strip() for cell in line.strip("|").split(" | ")])
    return rows


def template(text: str) -> str:
    """Replace placeholders and format directives by `{}`; those beside each other count as one."""
    text = FORMAT_DIRECTIVE.sub(HOLE, PLACEHOLDER.sub(HOLE, text))
    return text.replace(HOLE + HOLE, HOLE)


# The sources


@dataclass(frozen=True)
class Source:
    """A module of the package with its text and syntax tree."""

    module: ModuleType
    text: str
    tree: ast.Module

    def top_level_names(self) -> set[str]:
        """Return the classes, functions and constants that the module defines."""
        names: set[str] = set()
        for node in self.tree.body:
            if isinstance(node, ast.ClassDef | ast.FunctionDef | ast.AsyncFunctionDef):
                names.add(node.name)
            targets = node.targets if isinstance(node, ast.Assign) else [getattr(node, "target", None)]
            names |= {target.id for target in targets if isinstance(target, ast.Name)}
        return names


def load_sources() -> dict[str, Source]:
    """Import all modules of the package; the keys are their names."""
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
    """Return whether an object, or an instance of a class, has an attribute."""
    if hasattr(owner, name):
        return True
    return isinstance(owner, type) and (name in owner.__annotations__ or name in instance_attributes(owner))


@dataclass(frozen=True)
class Definition:
    """What a name on a page refers to: the module that defines it, its owner there, and its own name."""

    source: Source
    owner: object
    name: str

    @property
    def value(self) -> object:
        """The value of a constant, or the default of a field or property of a class."""
        holder = self.owner() if isinstance(self.owner, type) else self.owner
        return getattr(holder, self.name)


def definitions(name: str) -> list[Definition]:
    """Return what a dotted name refers to: `Class.member`, `NAME`, or either after the module's last name."""
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
    """Yield the strings and bytes of a module; f-strings with `{}` for each part that is not constant."""
    for node in ast.walk(source.tree):
        if isinstance(node, ast.JoinedStr):
            yield "".join(_part(source.module, part) for part in node.values)
        elif isinstance(node, ast.Constant) and isinstance(node.value, str | bytes):
            text = node.value.decode("latin-1") if isinstance(node.value, bytes) else node.value
            yield text.rstrip("\r\n")


def _part(module: ModuleType, part: ast.expr) -> str:
    """A part of an f-string: its text, the text of a constant of the module, or `{}`."""
    if isinstance(part, ast.Constant):
        return str(part.value)
    constant = (
        getattr(module, ast.unparse(part.value), None) if isinstance(part, ast.FormattedValue) else None
    )
    return constant if isinstance(constant, str) else HOLE


# Log lines


@dataclass(frozen=True)
class LogLine:
    """One kind of log line: its text with `{}` for values, its levels, and the logger's name."""

    text: str
    levels: tuple[str, ...]
    has_traceback: bool
    logger: str


def message_of_failed_watch() -> str:
    """Return the log message of the decisions; its text is built in steps, so that it is made here."""
    router = Router(Settings(classes={"read": RequestClass("read", 1.0)}), seed=1, now=0.0)
    actions = router.handle(0.0, EndpointUpdate(EndpointUpdateKind.FAILED, discovery_address="ADDRESS"))
    (message,) = (action.message for action in actions if isinstance(action, LogMessage))
    return message.replace("1", "COUNT")


def logged_lines() -> Iterator[LogLine]:
    """Yield all lines that the sources log."""
    for name, source in SOURCES.items():
        functions = [
            node for node in ast.walk(source.tree) if isinstance(node, ast.FunctionDef | ast.AsyncFunctionDef)
        ]
        for function in functions:
            for call in (node for node in ast.walk(function) if isinstance(node, ast.Call)):
                if isinstance(call.func, ast.Attribute) and ast.unparse(call.func.value) == "log":
                    yield _log_line(call, call.func.attr, function, name)


def _log_line(call: ast.Call, method: str, function: ast.AST, logger: str) -> LogLine:
    if method == "log":
        names = [ast.unparse(node) for node in ast.walk(function) if isinstance(node, ast.Attribute)]
        levels = tuple(sorted({name[8:] for name in names if re.fullmatch(r"logging\.[A-Z]+", name)}))
    else:
        levels = ("ERROR",) if method == "exception" else (method.upper(),)
    argument = call.args[1 if method == "log" else 0]
    assert isinstance(argument, ast.Constant), f"{logger}: a log line without a constant format"
    text = message_of_failed_watch() if argument.value == "%s" else str(argument.value)
    return LogLine(template(text), levels, method == "exception", logger)


def documented_lines() -> list[LogLine]:
    """Return the log lines of the runbook's table."""
    rows = table_rows(RUNBOOK, "| line | level | logger |")
    return [
        LogLine(
            template(line.strip("`")),
            tuple(sorted(re.findall(r"[A-Z]{4,}", level))),
            "with a traceback" in level,
            logger.strip("`"),
        )
        for line, level, logger in rows
    ]


def documented_messages() -> list[tuple[str, str]]:
    """Return the messages and replies of the runbook's tables, each with its module."""
    messages = table_rows(RUNBOOK, "| message | module |")
    replies = [[row[0], row[2]] for row in table_rows(RUNBOOK, "| reply | meaning | module |")]
    return [(text.strip("`"), path.strip("`")) for text, path in messages + replies]


def test_runbook_has_each_log_line_and_no_other() -> None:
    documented = documented_lines()
    assert len(documented) == len(set(documented)) > 10
    assert set(documented) == set(logged_lines())


def test_decisions_log_one_kind_of_message() -> None:
    """`message_of_failed_watch` makes that one; another one must be added to it and to the runbook."""
    calls = [
        node
        for source in SOURCES.values()
        for node in ast.walk(source.tree)
        if isinstance(node, ast.Call) and ast.unparse(node.func) == "LogMessage"
    ]
    assert len(calls) == 1


def test_loggers_have_the_names_of_their_modules() -> None:
    for line in documented_lines():
        assert SOURCES[line.logger].module.log.name == line.logger


@pytest.mark.parametrize(("message", "path"), documented_messages())
def test_messages_are_those_of_their_modules(message: str, path: str) -> None:
    assert template(message) in {template(text) for text in strings(source_of_path(path))}


# Names


def configuration_rows() -> dict[str, tuple[str, str]]:
    """Return the term and the unit of each key of the configuration page."""
    rows = [line.strip("| ").split(" | ") for line in CONFIGURATION.splitlines() if line.startswith("| `")]
    return {row[0].strip("`"): (row[1].strip("`"), row[2].strip("`")) for row in rows}


CONFIGURATION_ROWS = configuration_rows()


def configuration_row(key: str) -> tuple[str, str] | None:
    """Return the term and the unit of a key, which pages write without its leading `settings.`."""
    return CONFIGURATION_ROWS.get(f"settings.{key}") or CONFIGURATION_ROWS.get(key)


def is_path(span: str) -> bool:
    """Return whether a text is a path, relative to the package or to the repository, that exists."""
    return " " not in span and any((folder / span).exists() for folder in (PACKAGE, ROOT))


def is_name(span: str) -> bool:
    """Return whether a text names something in the code, a logger or a module."""
    return bool(re.fullmatch(r"[A-Za-z_][\w.]*", span)) and (bool(definitions(span)) or span in SOURCES)


def is_line(span: str) -> bool:
    """Return whether a text is a documented line or message, or the start of one."""
    lines = [line.text for line in documented_lines()] + [template(text) for text, _ in documented_messages()]
    if PLACEHOLDER.search(span):
        return template(span) in lines or span == "PATH: "
    return " " in span and any(line.startswith(span) for line in lines)


def is_listed_word(span: str) -> bool:
    """Return whether a text is a key of the configuration or a word of the glossary."""
    deploy_keys = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text()).keys()
    return f"`{span}`" in LISTED_WORDS or configuration_row(span) is not None or span in deploy_keys


def is_string(span: str) -> bool:
    """Return whether the sources have a string: exactly this one, or one that starts with a text of words."""
    texts = {text for source in SOURCES.values() for text in strings(source)}
    return span in texts or (not span.isidentifier() and any(text.startswith(span) for text in texts))


KINDS: tuple[Callable[[str], bool], ...] = (is_path, is_name, is_line, is_listed_word, is_string)


def is_known(span: str) -> bool:
    """Return whether a text in code marks refers to something that exists."""
    if span in FOREIGN_WORDS or span.startswith(COMMAND_PREFIXES):
        return True
    return any(is_kind(span) for is_kind in KINDS)


@pytest.mark.parametrize("page", PAGES)
def test_what_stands_in_code_marks_exists(page: str) -> None:
    spans = set(code_spans(PAGES[page]))
    assert len(spans) > 100
    assert sorted(span for span in spans if not is_known(span)) == []


@pytest.mark.parametrize(
    "span",
    [
        "RetryBudget.token",
        "retry_budget.RetryBudget",
        "NO_SUCH_CONSTANT",
        "decisions/retry_budget.py",
        "cache_router.net.discoverer",
        "rules.rampDuration",
        "discovery ADDRESS: watch ended",
        "listening at",
        "-ERR unheard of",
    ],
)
def test_what_does_not_exist_is_found(span: str) -> None:
    assert not is_known(span)


@pytest.mark.parametrize("page", PAGES)
def test_names_after_a_file_are_defined_there(page: str) -> None:
    """As in: `decisions/open_requests.py`, `OpenRequests.reject_or_fail`."""
    pairs = FILE_AND_NAME.findall(flat(PAGES[page]))
    assert page != "RUNBOOK.md" or len(pairs) >= 30
    assert [pair for pair in pairs if not is_defined_in(*pair)] == []


def test_owners_of_state_are_defined_in_their_files() -> None:
    rows = table_rows(ARCHITECTURE, "| state | owner | file | changed by | lifetime |")
    assert len(rows) >= 20
    assert [row for row in rows if not is_defined_in(row[2].strip("`"), row[1].strip("`"))] == []


# Values and settings


def comments(definition: Definition) -> str:
    """Return what the source says of a constant or field: its comments, and the doc comments around it."""
    name, owner = definition.name, definition.owner
    lines = definition.source.text.splitlines()
    place = next(i for i, line in enumerate(lines) if re.match(rf"\s*(?:def )?{name}\b[:(= ]", line))
    texts = [name, lines[place]]
    # the comment above a constant may be that of a group of them
    for line in reversed(lines[:place]):
        if not re.match(r"\s*#|\w+ = ", line):
            break
        texts.append(line)
    if isinstance(owner, type):
        texts += [inspect.getdoc(owner) or "", definition.source.module.__doc__ or ""]
    return re.sub(r"[\s#]+", " ", " ".join(texts)).lower()


def unit_words(unit: str) -> list[str]:
    """Return the words of a unit that must occur in the source, without the plural."""
    words = [word for word in unit.lower().split() if word not in UNIT_FILLERS]
    return [UNIT_ABBREVIATIONS.get(word, word.removesuffix("s")) for word in words]


def wrong_quantity(name: str, low: str, high: str, unit: str) -> str:
    """Return what is wrong about a value that a page gives, empty if nothing is."""
    found = definitions(name)
    if len(found) != 1:
        return f"{name} has {len(found)} definitions"
    documented = (float(low), float(high)) if high else float(low)
    if found[0].value != pytest.approx(documented):
        return f"{name} is {found[0].value}, not {documented}"
    missing = [word for word in unit_words(unit) if word not in comments(found[0])]
    return f"{name}: unit {unit!r}" if missing else ""


@pytest.mark.parametrize("page", PAGES)
def test_values_and_units_are_those_of_the_code(page: str) -> None:
    quantities = QUANTITY.findall(flat(PAGES[page]))
    assert len(quantities) >= 10
    assert [wrong for each in quantities if (wrong := wrong_quantity(*each))] == []


@pytest.mark.parametrize(
    "text",
    [
        "`MIN_EJECTION_TIME` (0.6 s)",
        "`MIN_EJECTION_TIME` (0.5 ms)",
        "`MAX_PIPELINED_COMMANDS` (32 s)",
        "`BACKOFF_JITTER` (0.75 to 1.25)",  # two modules have one
        "`EJECTION_JITTER` (0.5 to 1.1)",
        "`WatchBudget.call_timeout` (2 s)",
    ],
)
def test_wrong_value_or_unit_is_found(text: str) -> None:
    (quantity,) = QUANTITY.findall(text)
    assert wrong_quantity(*quantity)


def test_settings_of_the_runbook_are_those_of_the_configuration_page() -> None:
    """Each key has the term and the unit that the configuration page gives."""
    settings = SETTING.findall(flat(RUNBOOK))
    assert len(settings) >= 20
    for key, unit, term in settings:
        row = configuration_row(key)
        assert row is not None, key
        assert row[0] == term, key
        assert row[1].startswith(unit), key


def test_settings_of_the_architecture_page_are_those_of_the_configuration_page() -> None:
    settings = BRACKETED_SETTING.findall(ARCHITECTURE)
    assert len(settings) >= 8
    for term, key in settings:
        row = configuration_row(key)
        assert row is not None, key
        assert row[0] == term, key


def test_clients_have_the_documented_descriptors() -> None:
    """With the default of `limits.sockets`."""
    found = re.search(r"`CLIENT_EIGHTHS` \(4 eighths\) of the others: (\d+) of ([\d,]+)\.", flat(RUNBOOK))
    assert found is not None
    assert DescriptorBudget.divide(int(found[2].replace(",", ""))).clients == int(found[1])


def test_steps_of_the_shutdown_are_those_of_the_schedule() -> None:
    classes = {"read": RequestClass("read", latency_objective=1.0, client_timeout=3.0)}
    schedule = ShutdownSchedule.from_settings(Settings(classes=classes))
    rows = {
        row[0].strip("`"): row[1] for row in table_rows(ARCHITECTURE, "| step | for 3 s | what happens |")
    }
    assert rows.pop("signal") == "0"
    fields = {f"ShutdownSchedule.{name}" for name in ShutdownSchedule.__annotations__}
    assert rows.keys() == fields
    for step, time in rows.items():
        assert float(time) == pytest.approx(getattr(schedule, step.rpartition(".")[2]))


# The form of the pages


def test_each_alarm_has_all_parts() -> None:
    _, *sections = re.split(r"^## ", RUNBOOK.partition("\n## What can be seen\n")[2], flags=re.MULTILINE)
    assert len(sections) == ALARM_COUNT
    for section in sections:
        leads = [lead for lead in re.findall(r"^- \*\*(.+?)\*\*:", section, re.MULTILINE) if lead in LEADS]
        assert leads == LEADS, section.splitlines()[0]


@pytest.mark.parametrize("page", PAGES)
def test_links_to_sections_lead_to_headings(page: str) -> None:
    for name, anchor in re.findall(r"\]\(([\w./]*)#([\w-]+)\)", PAGES[page]):
        headings = re.findall(r"^#+ (.+)$", (DOCS / (name or page)).read_text(), re.MULTILINE)
        anchors = {re.sub(r"[^\w\- ]", "", heading.lower()).replace(" ", "-") for heading in headings}
        assert anchor in anchors
