"""Reads settings from the JSON form that the simulator and the configuration of a deployment share.

The JSON keys are those of the operators' documentation. They appear only in this module, each next to the
field that holds its value.
"""

from __future__ import annotations

from cache_router.section_reader import SectionReader
from cache_router.settings import Idempotency, IdempotencyScope, RequestClass, Settings, SettingsError

MIN_DIVISOR = 0.001  # seconds; lower bound of each time that decisions divide by
IDEMPOTENCIES = {
    "free": Idempotency.IDEMPOTENT,
    "guarded": Idempotency.WITH_KEY,
    "single_shot": Idempotency.NOT_IDEMPOTENT,
}
IDEMPOTENCY_SCOPES = {scope.value: scope for scope in IdempotencyScope}
CACHE_ASIDE_MODES = {"aside": True, "through": False}
SUBSCRIPTION_MODES = {"subscribe": True, "automatic": False}  # whether updates are sent to subscribers only
LIVE_WEIGHTS = "live"


def read_settings(conf: object) -> Settings:
    """Return the settings of a site, given as a JSON object.

    Raises:
        SettingsError: `conf` is not an object, has no request classes, or has an invalid field.
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
        live_weights=root.value("weights") == LIVE_WEIGHTS,
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
        slow_start_duration=max(MIN_DIVISOR, rules.number("rampTime", 10.0)),
        overload_multiple=rules.number("fallMultiple", 2.0),
        overload_window=max(MIN_DIVISOR, rules.number("overloadFor", 1.0)),
        drain_grace_period=rules.number("stopSendingWithin", 0.5),
    )


def _read_classes(root: SectionReader) -> dict[str, RequestClass]:
    """Return the request classes by name; settings without request classes are rejected."""
    sections = root.named_sections("classes")
    if not sections:
        raise root.field_error("classes", "is empty")
    return {name: _read_class(name, section) for name, section in sections.items()}


def _read_class(name: str, section: SectionReader) -> RequestClass:
    """Return a request class; an absent latency objective or client timeout takes the value of the other."""
    default_objective = section.number("giveUp", 1.0)
    latency_objective = section.number("aim", default_objective, MIN_DIVISOR)
    return RequestClass(
        name=name,
        latency_objective=latency_objective,
        client_timeout=section.number("giveUp", latency_objective, MIN_DIVISOR),
        idempotency=section.choice("effect", "single_shot", IDEMPOTENCIES),
        idempotency_scope=section.choice("group", "cell", IDEMPOTENCY_SCOPES),
        idempotency_window=section.number("repeatWindow", 0.0),
        priority_weight=section.number("value", 1.0),
    )


def _read_origin_kind(root: SectionReader, family: SectionReader) -> str | None:
    """Return the kind of the origin's members, which is given by its index; None without an origin."""
    kinds = root.names("skus")
    index = int(family.number("originKind", -1, minimum=-1))
    return kinds[index] if 0 <= index < len(kinds) else None
