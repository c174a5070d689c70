"""Judges what the peers of one run saw. Bounds are those of the operators' protocol, not measured figures.

Times of an observer that was late, because the machine was busy, are judged with its lag as tolerance.
"""

from __future__ import annotations

import math
from collections import defaultdict
from collections.abc import Iterator

from cache_router.settings import MIN_BACKOFF
from tests.soak.observations import Attempt, Lifetime, Observations, SentRequest
from tests.soak.plan import DRAIN_GRACE, ClientKind, DiscoveryMode, Plan
from tests.soak.run import SoakRun
from tests.soak.upstreams import value_of

LATE_REPLY_GRACE = 0.5  # seconds after its time in which an answer only earns nothing
TIME_LIMIT_TOLERANCE = 0.05  # seconds that each time limit is longer on sockets
HELD_UP = 0.15  # seconds for which a router may be held up between reading its clock and writing
AFTER_LEAVING = 0.1  # seconds after a client left in which an attempt may still begin
NOTIFICATION_DEADLINE = 6.0  # seconds after discovery has a change and can be reached
ADDRESS_CHANGE_DEADLINE = 4.0  # the same after SIGHUP
BUSY_MACHINE = 1.0  # seconds more for a router that may have to wait for a core
READY_WITHIN = 10.0  # seconds
EXPECTED_ERROR = "configuration not taken"
ORDERED_KINDS = (ClientKind.PIPELINING.value, ClientKind.NOT_READING.value)  # answers wait for others


def violations(run: SoakRun, with_timing: bool = True) -> list[str]:
    """All that broke a rule, a line each.

    `with_timing` adds the checks of how soon the router does something. They hold on a machine that gives its
    process a core when it needs one, and not beside any load.
    """
    plan, seen = run.plan, run.observations
    attempts: defaultdict[str, list[Attempt]] = defaultdict(list)
    for attempt in sorted(seen.attempts, key=lambda attempt: attempt.time):
        attempts[attempt.request_id].append(attempt)
    found = list(seen.violations)
    for request in seen.requests.values():
        if with_timing:
            found += _check_lateness(request, seen)
        found += _check_reply(request, attempts[request.request_id], plan, seen)
        found += _check_attempts(request, attempts[request.request_id], plan, run)
    found += _check_drains(run, with_timing)
    found += _check_polls(seen)
    found += _check_processes(seen)
    return found


def _check_reply(
    request: SentRequest, attempts: list[Attempt], plan: Plan, seen: Observations
) -> Iterator[str]:
    name = f"{request.request_id} ({request.request_class}, {request.client})"
    if request.answered_at is None:
        yield from _check_missing_reply(request, attempts, plan, seen, name)
        return
    expected = value_of(request.key.encode(), request.request_id.encode())
    if isinstance(request.reply, bytes) and request.reply != expected:
        yield f"answer: {name} got the value {request.reply!r}"
    executed = [attempt for attempt in attempts if not attempt.proves_no_execution]
    is_rejected = str(request.reply).startswith("BUSY")
    if is_rejected and executed and not _may_be_rejected(request, plan):
        yield f"rejected: {name} may have run at {executed[0].server}"


def _check_lateness(request: SentRequest, seen: Observations) -> Iterator[str]:
    if request.answered_at is None or request.client in ORDERED_KINDS:
        return
    taken = request.answered_at - request.sent_at
    if taken > request.deadline + LATE_REPLY_GRACE + TIME_LIMIT_TOLERANCE + seen.max_lag:
        at = request.sent_at - seen.lifetimes[0].started_at
        name = f"{request.request_id} ({request.request_class}, {request.client})"
        times = f"sent at {at:.3f}, answered after {taken:.3f} s, deadline {request.deadline:.3f} s"
        yield f"late: {name}, {times}"


def _may_be_rejected(request: SentRequest, plan: Plan) -> bool:
    settings = _class_of(request, plan)
    return settings["effect"] == "free" or (settings["effect"] == "guarded" and settings["group"] == "all")


def _class_of(request: SentRequest, plan: Plan) -> dict[str, object]:
    (settings,) = (c for c in plan.settings["classes"] if c["name"] == request.request_class)
    return dict(settings)


def _check_missing_reply(
    request: SentRequest, attempts: list[Attempt], plan: Plan, seen: Observations, name: str
) -> Iterator[str]:
    if request.client_closed_at is not None or request.sent_at == math.inf:
        return
    if request.router_closed_at is None:
        if _was_killed_at(request.sent_at + request.deadline, seen):
            return
        yield f"lost: {name} has no answer, and its connection stays open"
    elif attempts:
        yield f"lost: {name} was forwarded, and its connection closed without an answer"
    elif request.sends > 1 and not plan.crowd and not _is_in_shutdown(request.router_closed_at, seen):
        yield f"lost: {name} was closed unread on two connections"


def _was_killed_at(time: float, seen: Observations) -> bool:
    return any(life.was_killed and (life.ended_at or 0.0) <= time for life in seen.lifetimes)


def _is_in_shutdown(time: float, seen: Observations) -> bool:
    return any(life.terminated_at is not None and life.terminated_at <= time for life in seen.lifetimes)


def _check_attempts(request: SentRequest, attempts: list[Attempt], plan: Plan, run: SoakRun) -> Iterator[str]:
    name = f"{request.request_id} ({request.request_class})"
    if len(attempts) > plan.settings["limits"]["mostTries"] * request.sends:
        yield f"attempts: {name} was sent {len(attempts)} times"
    if request.client_closed_at is not None:
        for attempt in attempts:
            late = (
                attempt.time - request.client_closed_at - AFTER_LEAVING - TIME_LIMIT_TOLERANCE - attempt.lag
            )
            if late > 0:
                seconds = attempt.time - request.client_closed_at
                yield f"left: {name} was sent to {attempt.server} {seconds:.3f} s after its client left"
    for position, attempt in enumerate(attempts):
        earlier = [a for a in attempts[:position] if not a.proves_no_execution]
        if earlier:
            yield from _check_repeat(request, earlier, attempt, plan, run)
        if not plan.settings["limits"]["secondCopies"]:
            for other in attempts[:position]:
                still_open = (other.ended_at or math.inf) - attempt.time
                if still_open > TIME_LIMIT_TOLERANCE + attempt.lag:
                    yield f"second copy: {name} at {attempt.server} while {other.server} had it"


def _check_repeat(
    request: SentRequest, earlier: list[Attempt], attempt: Attempt, plan: Plan, run: SoakRun
) -> Iterator[str]:
    """Check an attempt of a request that may have run before."""
    settings = _class_of(request, plan)
    name = f"{request.request_id} ({request.request_class})"
    if settings["effect"] == "single_shot":
        yield f"repeat: {name} at {attempt.server} after {earlier[0].server}"
    if settings["effect"] != "guarded":
        return
    window = float(str(settings["repeatWindow"])) + HELD_UP + TIME_LIMIT_TOLERANCE + attempt.lag
    if attempt.time - earlier[0].time > window:
        yield f"repeat: {name} at {attempt.server} {attempt.time - earlier[0].time:.3f} s after the first"
    groups = {_group_of(a.server, str(settings["group"]), run) for a in (*earlier, attempt)}
    if len(groups) > 1:
        yield f"repeat: {name} at {attempt.server}, of another group than {earlier[0].server}"


def _group_of(server: str, group: str, run: SoakRun) -> object:
    entry = run.discovery.registry.entries[server]
    return {"all": None, "zone": entry["zone"], "cell": entry["group"]}[group]


def _check_drains(run: SoakRun, with_timing: bool) -> Iterator[str]:
    seen = run.observations
    busy = 0.0 if with_timing else BUSY_MACHINE
    for server, drained_at in seen.drain_started_at.items():
        version = run.discovery.registry.changed_in[server]
        for life in seen.lifetimes:
            deadline = _notification_deadline(max(drained_at, life.started_at), run)
            written = run.discovery.registry.written_at.get(server, [])
            end = life.ended_at or math.inf
            notified = [t for t, v in written if v >= version and life.started_at <= t <= end]
            known_at = min(notified, default=math.inf)
            late = known_at - deadline - TIME_LIMIT_TOLERANCE - HELD_UP - seen.max_lag
            if (
                with_timing
                and late > 0
                and (life.terminated_at or math.inf) > deadline + HELD_UP + seen.max_lag
            ):
                seconds = deadline - drained_at
                yield f"list: the drain of {server} was not known {seconds:.3f} s after it"
            latest = min(known_at, deadline) + DRAIN_GRACE + TIME_LIMIT_TOLERANCE + HELD_UP + busy
            for attempt in seen.attempts:
                if attempt.server == server and latest + attempt.lag < attempt.time <= end:
                    yield f"drain: {attempt.request_id} at {server} {attempt.time - latest:.3f} s too late"


def _notification_deadline(changed_at: float, run: SoakRun) -> float:
    """When a change counts as known in any case: discovery must be within reach for the whole time before."""
    modes = run.discovery.modes
    ends = [time for time, _ in modes[1:]] + [math.inf]
    for (start, mode), end in zip(modes, ends, strict=True):
        reached_at = max(start, changed_at)
        sighup_times = [
            time for time in run.observations.sighup_times if time < reached_at + NOTIFICATION_DEADLINE
        ]
        after_signal = max(sighup_times, default=-math.inf) + ADDRESS_CHANGE_DEADLINE
        deadline = max(reached_at + NOTIFICATION_DEADLINE, after_signal)
        if mode is DiscoveryMode.SERVING and deadline <= end:
            return deadline
    return math.inf


def _check_polls(seen: Observations) -> Iterator[str]:
    for poll, following in zip(seen.polls, seen.polls[1:], strict=False):
        if not poll.failed or poll.ended_at is None or following.started_at < poll.ended_at:
            continue
        between = [t for t in seen.sighup_times if poll.started_at - HELD_UP <= t <= following.started_at]
        restarted = any(poll.started_at <= life.started_at <= following.started_at for life in seen.lifetimes)
        pause = following.started_at - poll.ended_at
        if not between and not restarted and pause < MIN_BACKOFF - 0.01 - following.lag - poll.lag:
            yield f"backoff: a poll {pause:.3f} s after one that failed"


def _check_processes(seen: Observations) -> Iterator[str]:
    for life in seen.lifetimes:
        yield from _check_process(life)
    for line in seen.log:
        is_error = " ERROR " in line or " CRITICAL " in line or line.startswith("Traceback")
        if is_error and EXPECTED_ERROR not in line:
            yield f"log: {line[:200]}"


def _check_process(life: Lifetime) -> Iterator[str]:
    ready_after = (life.ready_at or math.inf) - life.started_at
    if ready_after > READY_WITHIN:
        yield f"process: ready after {ready_after:.3f} s"
    if life.ended_at is not None and not life.was_killed and life.exit_status != 0:
        yield f"process: ended with status {life.exit_status}"


def command_of(run: SoakRun) -> str:
    """The command that plays the same plan again."""
    plan = run.plan
    return f"python -m tests.soak --seeds 1 --first {plan.seed} --seconds {plan.duration:g}"


def summary(run: SoakRun, found: list[str]) -> str:
    """One line about a run."""
    seen = run.observations
    answered = sum(request.answered_at is not None for request in seen.requests.values())
    served = sum(isinstance(request.reply, bytes) for request in seen.requests.values())
    killed = sum(life.was_killed for life in seen.lifetimes)
    return (
        f"seed {run.plan.seed}: {'FAILED' if found else 'passed'}, {len(seen.requests)} requests, "
        f"{answered} answered, {served} served, {len(seen.attempts)} attempts, {len(seen.polls)} polls, "
        f"{len(seen.lifetimes)} processes, {killed} killed, lag {seen.max_lag * 1000:.0f} ms"
    )
