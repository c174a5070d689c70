"""Checks of the observations of one run, with the bounds that the operators' protocol sets.

On a busy machine an observer records its times late. Its lag is then added to the tolerance of each check.
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

LATE_REPLY_GRACE = 0.5  # seconds after the deadline in which a reply is worthless, but no violation
TIME_LIMIT_TOLERANCE = 0.05  # seconds by which socket I/O may exceed each time limit
MAX_ROUTER_PAUSE = 0.15  # seconds for which the router may be suspended between reading its clock and a write
MAX_DEADLINE_EXCESS = 0.15  # seconds by which the deadline of an attempt may exceed that of its client
DISCONNECT_TOLERANCE = 0.1  # seconds after a client's disconnect in which an attempt may still begin
NOTIFICATION_DEADLINE = 6.0  # seconds after discovery has a change and is reachable
ADDRESS_CHANGE_DEADLINE = 4.0  # seconds after a SIGHUP, which may change the address of discovery
BUSY_MACHINE_TOLERANCE = 1.0  # additional seconds for a router that may have to wait for a core
READY_DEADLINE = 10.0  # seconds after the start of the process
EXPECTED_ERROR = "configuration rejected"
ORDERED_KINDS = (ClientKind.PIPELINING.value, ClientKind.NOT_READING.value)  # replies wait for earlier ones


def find_violations(run: SoakRun, with_timing: bool = True) -> list[str]:
    """Return a description of each violation.

    `with_timing` adds the checks of latencies. They are valid only on a machine that has a free core for the
    router whenever it needs one, and not next to other load.
    """
    plan, observations = run.plan, run.observations
    attempts: defaultdict[str, list[Attempt]] = defaultdict(list)
    for attempt in sorted(observations.attempts, key=lambda attempt: attempt.time):
        attempts[attempt.request_id].append(attempt)
    found = list(observations.violations)
    for request in observations.requests.values():
        if with_timing:
            found += _check_lateness(request, observations)
        if not attempts[request.request_id] and not plan.idle_connections:
            found += _check_unforwarded(request, observations, with_timing)
        found += _check_reply(request, attempts[request.request_id], plan, observations)
        found += _check_attempts(request, attempts[request.request_id], plan, run)
        found += _check_deadlines_of_attempts(request, attempts[request.request_id])
    found += _check_drains(run, with_timing)
    found += _check_polls(observations)
    found += check_processes(observations)
    return found


def _check_reply(
    request: SentRequest, attempts: list[Attempt], plan: Plan, observations: Observations
) -> Iterator[str]:
    label = f"{request.request_id} ({request.request_class}, {request.client})"
    if request.answered_at is None:
        yield from _check_missing_reply(request, attempts, plan, observations, label)
        return
    expected = value_of(request.key.encode(), request.request_id.encode())
    if isinstance(request.reply, bytes) and request.reply != expected:
        yield f"reply: {label} got the value {request.reply!r} instead of {expected!r}"
    executed = [attempt for attempt in attempts if not attempt.proves_no_execution]
    is_rejected = str(request.reply).startswith("BUSY")
    if is_rejected and executed and not _may_be_rejected_after_execution(request, plan):
        yield f"rejected: {label} may have been executed by {executed[0].server}"


def _check_lateness(request: SentRequest, observations: Observations) -> Iterator[str]:
    if request.answered_at is None or request.client in ORDERED_KINDS:
        return
    elapsed = request.answered_at - request.sent_at
    if elapsed > request.deadline + LATE_REPLY_GRACE + TIME_LIMIT_TOLERANCE + observations.max_lag:
        at = request.sent_at - observations.lifetimes[0].started_at
        label = f"{request.request_id} ({request.request_class}, {request.client})"
        times = f"sent at {at:.3f}, answered after {elapsed:.3f} s, deadline {request.deadline:.3f} s"
        yield f"late: {label}, {times}"


def _may_be_rejected_after_execution(request: SentRequest, plan: Plan) -> bool:
    settings = _class_settings(request, plan)
    return settings["effect"] == "free" or (settings["effect"] == "guarded" and settings["group"] == "all")


def _class_settings(request: SentRequest, plan: Plan) -> dict[str, object]:
    (settings,) = (c for c in plan.settings["classes"] if c["name"] == request.request_class)
    return dict(settings)


def _check_missing_reply(
    request: SentRequest, attempts: list[Attempt], plan: Plan, observations: Observations, label: str
) -> Iterator[str]:
    if request.client_closed_at is not None or request.sent_at == math.inf:
        return
    if request.router_closed_at is None:
        if _was_killed_at(request.sent_at + request.deadline, observations):
            return
        yield f"lost: {label} has no reply, and its connection stays open"
    elif attempts:
        yield f"lost: {label} was forwarded, and its connection was closed without a reply"
    elif (
        request.sends > 1
        and not plan.idle_connections
        and not _is_in_shutdown(request.router_closed_at, observations)
    ):
        yield f"lost: {label} was never forwarded, and two connections were closed without a reply"


def _check_unforwarded(request: SentRequest, observations: Observations, with_timing: bool) -> Iterator[str]:
    """Check a request that was not forwarded: if it has no reply, it may only have crossed a close."""
    closed_at = request.router_closed_at
    if closed_at is None or request.answered_at is not None or _was_killed_at(closed_at, observations):
        return
    crossing = MAX_ROUTER_PAUSE + TIME_LIMIT_TOLERANCE + observations.max_lag
    if not with_timing:
        crossing += BUSY_MACHINE_TOLERANCE
    if closed_at - request.sent_at > crossing:
        seconds = closed_at - request.sent_at
        yield f"lost: {request.request_id} was not forwarded, its connection was closed {seconds:.3f} s later"


def _was_killed_at(time: float, observations: Observations) -> bool:
    return any(
        lifetime.was_killed and (lifetime.ended_at or 0.0) <= time for lifetime in observations.lifetimes
    )


def _is_in_shutdown(time: float, observations: Observations) -> bool:
    return any(
        lifetime.terminated_at is not None and lifetime.terminated_at <= time
        for lifetime in observations.lifetimes
    )


def _check_attempts(request: SentRequest, attempts: list[Attempt], plan: Plan, run: SoakRun) -> Iterator[str]:
    label = f"{request.request_id} ({request.request_class})"
    if len(attempts) > plan.settings["limits"]["mostTries"] * request.sends:
        yield f"attempts: {label} was sent {len(attempts)} times"
    if request.client_closed_at is not None:
        for attempt in attempts:
            late = (
                attempt.time
                - request.client_closed_at
                - DISCONNECT_TOLERANCE
                - TIME_LIMIT_TOLERANCE
                - attempt.lag
            )
            if late > 0:
                seconds = attempt.time - request.client_closed_at
                yield f"disconnect: {label} at {attempt.server} {seconds:.3f} s after its client disconnected"
    for position, attempt in enumerate(attempts):
        earlier = [a for a in attempts[:position] if not a.proves_no_execution]
        if earlier:
            yield from _check_retry(request, earlier, attempt, plan, run)
        if not plan.settings["limits"]["secondCopies"]:
            for other in attempts[:position]:
                overlap = (other.ended_at or math.inf) - attempt.time
                if overlap > TIME_LIMIT_TOLERANCE + attempt.lag:
                    yield f"hedging: {label} at {attempt.server} while {other.server} was processing it"


def _check_retry(
    request: SentRequest, earlier: list[Attempt], attempt: Attempt, plan: Plan, run: SoakRun
) -> Iterator[str]:
    """Check an attempt for a request that `earlier` attempts may have executed."""
    settings = _class_settings(request, plan)
    label = f"{request.request_id} ({request.request_class})"
    if settings["effect"] == "single_shot":
        yield f"retry: {label} at {attempt.server} after an attempt at {earlier[0].server}"
    if settings["effect"] != "guarded":
        return
    window = float(str(settings["repeatWindow"])) + MAX_ROUTER_PAUSE + TIME_LIMIT_TOLERANCE + attempt.lag
    if attempt.time - earlier[0].time > window:
        yield f"retry: {label} at {attempt.server} {attempt.time - earlier[0].time:.3f} s after the first"
    scopes = {_scope_id(a.server, str(settings["group"]), run) for a in (*earlier, attempt)}
    if len(scopes) > 1:
        yield f"retry: {label} at {attempt.server}, not in the idempotency scope of {earlier[0].server}"


def _check_deadlines_of_attempts(request: SentRequest, attempts: list[Attempt]) -> Iterator[str]:
    """Check that the deadline of each attempt is at most that of the client."""
    if request.client in ORDERED_KINDS:
        return
    for attempt in attempts:
        late = attempt.time + attempt.time_left - request.sent_at - request.deadline
        if late > MAX_DEADLINE_EXCESS + attempt.lag:
            yield f"deadline: {request.request_id} at {attempt.server}, {late:.3f} s more than is left"


def _scope_id(server: str, scope: str, run: SoakRun) -> object:
    entry = run.discovery.registry.entries[server]
    return {"all": None, "zone": entry["zone"], "cell": entry["group"]}[scope]


def _check_drains(run: SoakRun, with_timing: bool) -> Iterator[str]:
    observations = run.observations
    busy_tolerance = 0.0 if with_timing else BUSY_MACHINE_TOLERANCE
    for server, drained_at in observations.drain_started_at.items():
        version = run.discovery.registry.changed_in_version[server]
        for lifetime in observations.lifetimes:
            deadline = _notification_deadline(max(drained_at, lifetime.started_at), run)
            sent = run.discovery.registry.sent_versions.get(server, [])
            end = lifetime.ended_at or math.inf
            notified = [t for t, v in sent if v >= version and lifetime.started_at <= t <= end]
            known_at = min(notified, default=math.inf)
            late = known_at - deadline - TIME_LIMIT_TOLERANCE - MAX_ROUTER_PAUSE - observations.max_lag
            if (
                with_timing
                and late > 0
                and (lifetime.terminated_at or math.inf) > deadline + MAX_ROUTER_PAUSE + observations.max_lag
            ):
                seconds = deadline - drained_at
                yield f"list: the drain of {server} was not sent to the router within {seconds:.3f} s"
            latest = (
                min(known_at, deadline)
                + DRAIN_GRACE
                + TIME_LIMIT_TOLERANCE
                + MAX_ROUTER_PAUSE
                + busy_tolerance
            )
            for attempt in observations.attempts:
                if attempt.server == server and latest + attempt.lag < attempt.time <= end:
                    yield f"drain: {attempt.request_id} at {server}, {attempt.time - latest:.3f} s too late"


def _notification_deadline(changed_at: float, run: SoakRun) -> float:
    """Return the latest time at which the router has to know a change; infinite if it never has to.

    The router has to know it once discovery has been reachable for the whole notification deadline.
    """
    mode_history = run.discovery.mode_history
    ends = [time for time, _ in mode_history[1:]] + [math.inf]
    for (start, mode), end in zip(mode_history, ends, strict=True):
        reached_at = max(start, changed_at)
        sighup_times = [
            time for time in run.observations.sighup_times if time < reached_at + NOTIFICATION_DEADLINE
        ]
        after_signal = max(sighup_times, default=-math.inf) + ADDRESS_CHANGE_DEADLINE
        deadline = max(reached_at + NOTIFICATION_DEADLINE, after_signal)
        if mode is DiscoveryMode.SERVING and deadline <= end:
            return deadline
    return math.inf


def _check_polls(observations: Observations) -> Iterator[str]:
    for poll, following in zip(observations.polls, observations.polls[1:], strict=False):
        if not poll.failed or poll.ended_at is None or following.started_at < poll.ended_at:
            continue
        signals_between = [
            t
            for t in observations.sighup_times
            if poll.started_at - MAX_ROUTER_PAUSE <= t <= following.started_at
        ]
        restarted = any(
            poll.started_at <= lifetime.started_at <= following.started_at
            for lifetime in observations.lifetimes
        )
        pause = following.started_at - poll.ended_at
        if not signals_between and not restarted and pause < MIN_BACKOFF - 0.01 - following.lag - poll.lag:
            yield f"backoff: a poll began {pause:.3f} s after a failed one"


def check_processes(observations: Observations) -> Iterator[str]:
    """Yield the wrong exit statuses of processes, and the errors in their log."""
    for lifetime in observations.lifetimes:
        yield from _check_process(lifetime)
    for line in observations.log:
        is_error = " ERROR " in line or " CRITICAL " in line or line.startswith("Traceback")
        if is_error and EXPECTED_ERROR not in line:
            yield f"log: {line[:200]}"


def _check_process(lifetime: Lifetime) -> Iterator[str]:
    ready_after = (lifetime.ready_at or math.inf) - lifetime.started_at
    if ready_after > READY_DEADLINE:
        yield f"process: ready {ready_after:.3f} s after its start"
    if lifetime.ended_at is not None and not lifetime.was_killed and lifetime.exit_status != 0:
        yield f"process: ended with status {lifetime.exit_status}"


def rerun_command(run: SoakRun) -> str:
    """Return the command that runs the same plan again."""
    plan = run.plan
    floods = " --floods" if plan.floods else ""
    floods += " --system-calls" if plan.with_system_call_faults else ""
    return f"python -m tests.soak --seeds 1 --first {plan.seed} --seconds {plan.duration:g}{floods}"


def summary(run: SoakRun, found: list[str]) -> str:
    """Return a one-line summary of a run."""
    observations = run.observations
    answered = sum(request.answered_at is not None for request in observations.requests.values())
    served = sum(isinstance(request.reply, bytes) for request in observations.requests.values())
    killed = sum(lifetime.was_killed for lifetime in observations.lifetimes)
    return (
        f"seed {run.plan.seed}: {'FAILED' if found else 'passed'}, {len(observations.requests)} requests, "
        f"{answered} answered, {served} served, {len(observations.attempts)} attempts, "
        f"{len(observations.polls)} polls, {len(observations.lifetimes)} processes, "
        f"{killed} killed, lag {observations.max_lag * 1000:.0f} ms"
    )
