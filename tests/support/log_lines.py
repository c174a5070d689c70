"""Log lines and messages, as the sources write them and as the runbook lists them."""

from __future__ import annotations

import ast
import re
from collections.abc import Iterator
from dataclasses import dataclass

from cache_router.decisions.actions import LogMessage
from cache_router.decisions.events import EndpointUpdate, EndpointUpdateKind
from cache_router.decisions.router import Router
from cache_router.settings import RequestClass, Settings
from tests.support.pages import RUNBOOK, table_rows
from tests.support.sources import ANY_VALUE, SOURCES

PLACEHOLDER = re.compile(r"\b(?:ADDRESS|COUNT|ERROR|FIELD|ID|PATH|REASON|SECONDS|SERVER|STATE|VALUE)\b")
FORMAT_DIRECTIVE = re.compile(r"%(?:\.\d+)?[dfgrsb]")


def template(text: str) -> str:
    """Replace placeholders and format directives by `{}`, and two adjacent ones by a single `{}`."""
    text = FORMAT_DIRECTIVE.sub(ANY_VALUE, PLACEHOLDER.sub(ANY_VALUE, text))
    return text.replace(ANY_VALUE + ANY_VALUE, ANY_VALUE)


@dataclass(frozen=True)
class LogLine:
    """One kind of log line: its text with `{}` for values, its levels, and the name of its logger."""

    text: str
    levels: tuple[str, ...]
    has_traceback: bool
    logger: str


def failed_watch_message() -> str:
    """Return the one log message of the decisions, made by a router: no source has it as a constant."""
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
    assert isinstance(argument, ast.Constant), f"{logger}: the format of a log line is not a constant"
    text = failed_watch_message() if argument.value == "%s" else str(argument.value)
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
