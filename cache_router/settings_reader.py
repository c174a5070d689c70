"""Reads settings from the JSON form that the simulator and a deployment's configuration share.

The JSON keys are those of the operators' pages. They appear in this module alone, each beside the field that
holds its value.
"""

from __future__ import annotations

from collections.abc import Mapping
from typing import Any, TypeVar

from cache_router.settings import Idempotency, IdempotencyScope, RequestClass, Settings, SettingsError

MIN_POSITIVE = 0.001  # seconds: the least value of what is divided by
IDEMPOTENCIES = {
    "free": Idempotency.IDEMPOTENT,
    "guarded": Idempotency.WITH_KEY,
    "single_shot": Idempotency.NOT_IDEMPOTENT,
}
IDEMPOTENCY_SCOPES = {scope.value: scope for scope in IdempotencyScope}
CACHE_ASIDE_MODES = {"aside": True, "through": False}
SUBSCRIPTION_MODES = {"subscribe": True, "automatic": False}  # whether updates come only after subscribing
LIVE_WEIGHTS = "live"

Choice = TypeVar("Choice")


class SectionReader:
    """Reads the fields of one JSON object; its errors name the field with the path to it.

    Fields that are absent or null take their defaults, fields that nothing reads are ignored.
    """

    __slots__ = ("path", "values")

    def __init__(self, values: dict[str, Any], path: str = "") -> None:
        """Read from `values`; `path` is what stands before a field's name in errors, its dot included."""
        self.values = values
        self.path = path

    def number(self, field: str, default: float, minimum: float = 0.0) -> float:
        """A number, as it stands in the JSON.

        Raises:
            SettingsError: it is no number, or less than `minimum`.
        """
        value = self.values.get(field)
        if value is None:
            return default
        if isinstance(value, bool) or not isinstance(value, (int, float)) or value < minimum:
            raise self.unusable(field, f"must be a number of at least {minimum:g}, not {value!r}")
        return value

    def flag(self, field: str) -> bool:
        """Whether something is allowed; not if absent.

        Raises:
            SettingsError: it is neither true nor false.
        """
        value = self.values.get(field)
        if value not in (None, False, True):
            raise self.unusable(field, f"must be true or false, not {value!r}")
        return bool(value)

    def choice(self, field: str, default: str, choices: Mapping[str, Choice]) -> Choice:
        """What one of a few words stands for.

        Raises:
            SettingsError: it is none of the words in `choices`.
        """
        value = self.values.get(field)
        word = default if value is None else value
        if not isinstance(word, str) or word not in choices:
            raise self.unusable(field, f"must be one of {', '.join(choices)}, not {word!r}")
        return choices[word]

    def names(self, field: str) -> tuple[str, ...]:
        """A list of names, empty if absent.

        Raises:
            SettingsError: it is no list, or one of its entries is no string.
        """
        value = self.values.get(field)
        names = [] if value is None else value
        if not isinstance(names, list) or not all(isinstance(name, str) for name in names):
            raise self.unusable(field, f"must be a list of names, not {names!r}")
        return tuple(names)

    def section(self, field: str) -> SectionReader:
        """A nested object, empty if absent.

        Raises:
            SettingsError: it is no object.
        """
        value = self.values.get(field)
        section = {} if value is None else value
        if not isinstance(section, dict):
            raise self.unusable(field, f"must be an object, not {section!r}")
        return SectionReader(section, f"{self.path}{field}.")

    def named_sections(self, field: str) -> dict[str, SectionReader]:
        """A list of objects by their `name`s, empty if absent.

        Raises:
            SettingsError: it is no list of objects, or a name is missing or repeated.
        """
        value = self.values.get(field)
        rows = [] if value is None else value
        if not isinstance(rows, list) or not all(isinstance(row, dict) for row in rows):
            raise self.unusable(field, "must be a list of objects")
        sections: dict[str, SectionReader] = {}
        for index, row in enumerate(rows):
            name = row.get("name")
            if not isinstance(name, str):
                raise self.unusable(f"{field}[{index}].name", "is missing")
            if name in sections:
                raise self.unusable(f"{field}[{index}].name", f"is there twice: {name!r}")
            sections[name] = SectionReader(row, f"{self.path}{field}[{name}].")
        return sections

    def unusable(self, field: str, reason: str) -> SettingsError:
        """The error of a field of this section."""
        return SettingsError(f"settings: {self.path}{field} {reason}", where=f"{self.path}{field}")


def read_settings(conf: Any) -> Settings:
    """The settings of a site, from their JSON object.

    Raises:
        SettingsError: they are no object, name no class of requests, or have a field that cannot be used.
    """
    if not isinstance(conf, dict):
        raise SettingsError("settings: conf must be an object", where="conf")
    root = SectionReader(conf)
    classes = _read_classes(root)
    limits, rules, family = root.section("limits"), root.section("rules"), root.section("familyInfo")
    prices = root.section("penalties")
    return Settings(
        classes=classes,
        origin_kind=_read_origin_kind(root, family),
        clock_resolution=root.number("resolution", 0.005),
        cache_aside=family.choice("mode", "through", CACHE_ASIDE_MODES),
        must_subscribe=root.choice("membershipMode", "automatic", SUBSCRIPTION_MODES),
        live_weights=root.values.get("weights") == LIVE_WEIGHTS,
        hedging_allowed=limits.flag("secondCopies"),
        cancellation_allowed=limits.flag("mayCancel"),
        max_attempts=max(1, int(limits.number("mostTries", 1))),
        load_report_fields=root.section("loadReport").names("fields"),
        router_count=max(1, int(root.number("siblings", 1))),
        connection_idle_timeout=limits.number("connIdle", 60.0),
        connect_timeout=limits.number("dialTimeout", 0.25),
        max_retry_after=limits.number("maxRetryAfter", 0.0),
        connection_price=prices.number("connection", 0.0),
        handshake_price=prices.number("handshake", 0.0),
        slow_start_initial_share=rules.number("coldFrom", 0.3),
        slow_start_duration=max(MIN_POSITIVE, rules.number("rampTime", 10.0)),
        overload_multiple=rules.number("fallMultiple", 2.0),
        overload_window=rules.number("overloadFor", 1.0),
        drain_grace_period=rules.number("stopSendingWithin", 0.5),
    )


def _read_classes(root: SectionReader) -> dict[str, RequestClass]:
    """The classes of requests by name; a site without any cannot be served."""
    sections = root.named_sections("classes")
    if not sections:
        raise root.unusable("classes", "is empty")
    return {name: _read_class(name, section) for name, section in sections.items()}


def _read_class(name: str, section: SectionReader) -> RequestClass:
    """One class; a latency objective or client timeout that is absent takes the value of the other."""
    objective_default = section.number("giveUp", 1.0)
    latency_objective = section.number("aim", objective_default, MIN_POSITIVE)
    return RequestClass(
        name=name,
        latency_objective=latency_objective,
        client_timeout=section.number("giveUp", latency_objective, MIN_POSITIVE),
        idempotency=section.choice("effect", "single_shot", IDEMPOTENCIES),
        idempotency_scope=section.choice("group", "cell", IDEMPOTENCY_SCOPES),
        idempotency_window=section.number("repeatWindow", 0.0),
        priority_weight=section.number("value", 1.0),
    )


def _read_origin_kind(root: SectionReader, family: SectionReader) -> str | None:
    """The kind of origin servers, given by its index in the list of kinds; None where there is none."""
    kinds = root.names("skus")
    index = int(family.number("originKind", -1, minimum=-1))
    return kinds[index] if 0 <= index < len(kinds) else None
