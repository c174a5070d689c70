"""Values, units and settings on the runbook and the architecture page, compared with the sources."""

from __future__ import annotations

import inspect
import re

import pytest

from cache_router.descriptor_budget import DescriptorBudget
from cache_router.settings import RequestClass, Settings
from cache_router.shutdown_schedule import ShutdownSchedule
from tests.support.pages import ARCHITECTURE, PAGES, RUNBOOK, configuration_row, normalize, table_rows
from tests.support.sources import Definition, definitions

# Words in a unit that state no quantity, and therefore do not have to occur in the source
UNIT_FILLERS = {"a", "at", "each", "for", "of", "the", "times"}
UNIT_ABBREVIATIONS = {"s": "second", "ms": "_ms"}
QUANTITY = re.compile(r"`([A-Za-z_][\w.]*)` \((\d[\d.]*)(?: to (\d[\d.]*))?(?: ([^();,]+))?[);,]")
SETTING = re.compile(r"`([\w.\[\]]+)` \(`?([^`(),;]+)`?, `((?:Config|Settings|RequestClass)\.\w+)`")
BRACKETED_SETTING = re.compile(r"`((?:Settings|RequestClass)\.\w+)`\s+\[`([\w.\[\]]+)`\]")


def comments(definition: Definition) -> str:
    """Return the texts that describe a constant or field: its comments, and the doc comments of its owner."""
    name, owner = definition.name, definition.owner
    lines = definition.source.text.splitlines()
    line_index = next(i for i, line in enumerate(lines) if re.match(rf"\s*(?:def )?{name}\b[:(= ]", line))
    texts = [name, lines[line_index]]
    # The comment above a group of constants describes each of them
    for line in reversed(lines[:line_index]):
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


def quantity_mismatch(name: str, low: str, high: str, unit: str) -> str:
    """Return how a documented value or unit differs from the sources, or an empty text if it does not."""
    found = definitions(name)
    if len(found) != 1:
        return f"{name} has {len(found)} definitions"
    documented = (float(low), float(high)) if high else float(low)
    if found[0].value != pytest.approx(documented):
        return f"{name} is {found[0].value}, not {documented}"
    missing = [word for word in unit_words(unit) if word not in comments(found[0])]
    return f"{name}: no comment states the unit {unit!r}" if missing else ""


@pytest.mark.parametrize("page", PAGES)
def test_values_and_units_are_those_of_the_code(page: str) -> None:
    quantities = QUANTITY.findall(normalize(PAGES[page]))
    assert len(quantities) >= 10
    assert [mismatch for each in quantities if (mismatch := quantity_mismatch(*each))] == []


@pytest.mark.parametrize(
    "text",
    [
        "`MIN_EJECTION_TIME` (0.6 s)",
        "`MIN_EJECTION_TIME` (0.5 ms)",
        "`MAX_PIPELINED_COMMANDS` (32 s)",
        "`BACKOFF_JITTER` (0.75 to 1.25)",  # two modules define it
        "`EJECTION_JITTER` (0.5 to 1.1)",
        "`WatchBudget.poll_timeout` (2 s)",
    ],
)
def test_wrong_value_or_unit_is_found(text: str) -> None:
    (quantity,) = QUANTITY.findall(text)
    assert quantity_mismatch(*quantity)


def test_settings_of_the_runbook_are_those_of_the_configuration_page() -> None:
    """Each key has the same term and the same unit as on the configuration page."""
    settings = SETTING.findall(normalize(RUNBOOK))
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
    """The documented number is for the default of `limits.sockets`."""
    found = re.search(
        r"`CLIENT_EIGHTHS` \(4 eighths\) of the others: (\d+) of ([\d,]+)\.", normalize(RUNBOOK)
    )
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
