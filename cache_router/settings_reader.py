"""Reads settings from the JSON form that the simulator and a deployment's configuration share."""

from __future__ import annotations

import math
from typing import Any

from cache_router.decisions.events import LoadReport
from cache_router.settings import Idempotency, IdempotencyScope, RequestClass, Settings, SettingsError

SHORTEST = 0.001  # seconds: what is divided by must not be nothing
EFFECTS = {
    "free": Idempotency.IDEMPOTENT,
    "guarded": Idempotency.WITH_KEY,
    "single_shot": Idempotency.NOT_IDEMPOTENT,
}


def number(table: dict[str, Any], field: str, default: float, where: str, least: float = 0.0) -> float:
    """Read a number of the settings, or its default when absent; name the field when it can't be used."""
    value = table.get(field)
    if value is None:
        return default
    if isinstance(value, bool) or not isinstance(value, (int, float)) or value < least:
        raise SettingsError(f"settings: {where}{field} must be a number of at least {least:g}, not {value!r}")
    return value


def flag(table: dict[str, Any], field: str, where: str) -> bool:
    """Read whether something is allowed; absent it is not."""
    value = table.get(field)
    if value not in (None, False, True):
        raise SettingsError(f"settings: {where}{field} must be true or false, not {value!r}")
    return bool(value)


def choice(table: dict[str, Any], field: str, default: str, known: dict[str, Any], where: str) -> Any:
    """Read one of a few known words."""
    value = table.get(field)
    value = default if value is None else value
    if not isinstance(value, str) or value not in known:
        raise SettingsError(f"settings: {where}{field} must be one of {', '.join(known)}, not {value!r}")
    return known[value]


def section(conf: dict[str, Any], field: str) -> dict[str, Any]:
    """Read a nested object, empty when absent."""
    value = conf.get(field)
    if value is None:
        return {}
    if not isinstance(value, dict):
        raise SettingsError(f"settings: {field} must be an object, not {value!r}")
    return value


def names(table: dict[str, Any], field: str, where: str) -> tuple[str, ...]:
    """Read a list of names, empty when absent."""
    value = table.get(field)
    value = [] if value is None else value
    if not isinstance(value, list) or not all(isinstance(n, str) for n in value):
        raise SettingsError(f"settings: {where}{field} must be a list of names, not {value!r}")
    return tuple(value)


def read_load(values: dict[str, Any]) -> LoadReport | None:
    """A load report by the names of its values; None where it lacks one that decisions use."""
    service, waiting = values.get("svc_ms"), values.get("pending")
    for value in (service, waiting):
        # guards decisions: noise in a report's place must not count as a load
        if isinstance(value, bool) or not isinstance(value, (int, float)) or not 0 <= value < math.inf:
            return None
    assert service is not None and waiting is not None
    return LoadReport(service / 1000, waiting)


def rows(conf: dict[str, Any], field: str) -> list[dict[str, Any]]:
    """Read a list of named objects, empty when absent."""
    value = conf.get(field)
    value = [] if value is None else value
    if not isinstance(value, list) or not all(isinstance(r, dict) for r in value):
        raise SettingsError(f"settings: {field} must be a list of objects")
    for i, row in enumerate(value):
        if not isinstance(row.get("name"), str):
            raise SettingsError(f"settings: {field}[{i}].name is missing")
        if row["name"] in (other["name"] for other in value[:i]):
            raise SettingsError(f"settings: {field}[{i}].name is there twice: {row['name']!r}")
    return value


def read_class(row: dict[str, Any]) -> RequestClass:
    """One class of the settings."""
    where = f"classes[{row['name']}]."
    groups = {g.value: g for g in IdempotencyScope}
    aim = number(row, "aim", number(row, "giveUp", 1.0, where), where, SHORTEST)
    return RequestClass(
        name=row["name"],
        latency_objective=aim,
        client_timeout=number(row, "giveUp", aim, where, SHORTEST),
        idempotency=choice(row, "effect", "single_shot", EFFECTS, where),
        idempotency_scope=choice(row, "group", "cell", groups, where),
        idempotency_window=number(row, "repeatWindow", 0.0, where),
        priority_weight=number(row, "value", 1.0, where),
    )


def read_settings(conf: Any) -> Settings:
    """The settings as the module's; unknown keys are ignored and absent ones take defaults."""
    if not isinstance(conf, dict):
        raise SettingsError("settings: conf must be an object")
    classes = {row["name"]: read_class(row) for row in rows(conf, "classes")}
    if not classes:
        raise SettingsError("settings: classes is empty")
    limits, rules, info = section(conf, "limits"), section(conf, "rules"), section(conf, "familyInfo")
    prices = section(conf, "penalties")
    kinds = names(conf, "skus", "")
    origin = int(number(info, "originKind", -1, "familyInfo.", -1))
    return Settings(
        classes=classes,
        clock_resolution=number(conf, "resolution", 0.005, ""),
        cache_aside=choice(info, "mode", "through", {"aside": True, "through": False}, "familyInfo."),
        origin_kind=kinds[origin] if 0 <= origin < len(kinds) else None,
        must_subscribe=choice(
            conf, "membershipMode", "automatic", {"subscribe": True, "automatic": False}, ""
        ),
        live_weights=conf.get("weights") == "live",
        hedging_allowed=flag(limits, "secondCopies", "limits."),
        cancellation_allowed=flag(limits, "mayCancel", "limits."),
        max_attempts=max(1, int(number(limits, "mostTries", 1, "limits."))),
        load_report_fields=names(section(conf, "loadReport"), "fields", "loadReport."),
        router_count=max(1, int(number(conf, "siblings", 1, ""))),
        connection_idle_timeout=number(limits, "connIdle", 60.0, "limits."),
        connect_timeout=number(limits, "dialTimeout", 0.25, "limits."),
        max_retry_after=number(limits, "maxRetryAfter", 0.0, "limits."),
        connection_price=number(prices, "connection", 0.0, "penalties."),
        handshake_price=number(prices, "handshake", 0.0, "penalties."),
        slow_start_initial_share=number(rules, "coldFrom", 0.3, "rules."),
        slow_start_duration=max(SHORTEST, number(rules, "rampTime", 10.0, "rules.")),
        overload_multiple=number(rules, "fallMultiple", 2.0, "rules."),
        overload_window=number(rules, "overloadFor", 1.0, "rules."),
        drain_grace_period=number(rules, "stopSendingWithin", 0.5, "rules."),
    )
