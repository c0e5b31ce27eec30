"""Rows of the fault matrix: the invariants, each with its scenario and its check."""

import collections
import dataclasses
import typing

from bench import _bodies, _configworld, _deployment, _linkworld, _scenarios
from skylarksill import records

MAX_DRAIN_DELAY_S = 3.0
LAST_ANSWER_S = 1.0
MAX_POISON_DEATHS = 2
RETRY_RATIO = 0.10
HEDGE_RATIO = 0.05
SHIFT_WINDOW_S = 1.0


@dataclasses.dataclass(frozen=True, slots=True)
class Row:
    """An invariant; ``judge`` returns the violations that a Deployment shows."""

    name: str
    run: typing.Callable
    judge: typing.Callable


def judge_at_most_once(deployment):
    """Finds orders that ran twice although their service is not idempotent."""
    counts = collections.Counter(
        run.request.body.decode()
        for run in deployment.ledger.runs
        if run.request.service_id == "deposits"
    )
    return [f"order {order} ran {count} times" for order, count in counts.items() if count > 1]


def judge_verdicts(deployment):
    """Finds tickets that were reported as not run and ran, or as run and did not."""
    ran = {run.request.request_id for run in deployment.ledger.runs}
    violations = []
    for result in deployment.list_results():
        verdict = _find_verdict(result.outcome)
        if result.ticket_id is None or verdict is None:
            continue
        if verdict is records.Verdict.NOT_RUN and result.ticket_id in ran:
            violations.append(f"{result.ticket_id} was reported as not run but ran")
        if verdict is records.Verdict.RAN and result.ticket_id not in ran:
            violations.append(f"{result.ticket_id} was reported as run but did not run")
    return violations


def judge_foreign_answers(deployment):
    """Finds requests that got the answer to another request."""
    return [
        f"{result.order.order_id} got the answer {result.outcome.body!r}"
        for result in deployment.list_results()
        if isinstance(result.outcome, records.Answer)
        and result.outcome != _bodies.make_answer(result.order.order_id)
    ]


def judge_answers(deployment):
    """Finds answers to another request and requests without a verdict."""
    violations = judge_foreign_answers(deployment)
    for result in deployment.list_results():
        if result.outcome is None and _is_reachable(deployment, result):
            violations.append(f"{result.order.order_id} got no verdict from {result.entry}")
    sent = sum(client.sent for client in deployment.clients)
    if sent != len(deployment.list_results()):
        violations.append(f"{sent} attempts but {len(deployment.list_results())} results")
    return violations


def _is_reachable(deployment, result):
    entry = deployment.world.nodes[result.entry]
    client = deployment.world.nodes[result.order.client]
    was_cut = deployment.world.had_cuts and entry.zone != client.zone
    return entry.is_alive and not was_cut


def _find_verdict(outcome):
    match outcome:
        case records.Answer():
            return records.Verdict.RAN
        case records.Refusal(verdict=verdict):
            return verdict
    return None


def judge_slots(deployment):
    """Finds upstreams that had more requests than slots."""
    return [
        f"{run.upstream} over its slots at {run.time:.3f}" for run in deployment.ledger.over_slots
    ]


def judge_connections(deployment):
    """Finds upstreams that had more connections in use than their maximum."""
    return [
        f"{record.upstream_id} had {deployment.ledger.peak[record.upstream_id]} connections"
        for record in deployment.configuration.upstreams
        if deployment.ledger.peak[record.upstream_id] > record.max_connections
    ]


def judge_region(deployment):
    """Finds regions that had more requests in flight than their limit."""
    return [
        f"{run.region} over its limit at {run.time:.3f}" for run in deployment.ledger.over_region
    ]


def judge_shift(deployment):
    """Finds seconds in which a region accepted more requests of other regions than its cap.

    A request is accepted at some time between its arrival at the dispatcher and its first run;
    copies may wait in between. The cap is certainly exceeded if both the arrival and the first run
    of too many requests lie within one second.
    """
    spans = collections.defaultdict(list)
    seen = set()
    for run in deployment.ledger.runs:
        key = (run.source, run.request.request_id)
        if run.request.home_region != run.region and key not in seen:
            seen.add(key)
            spans[run.region].append((deployment.ledger.arrivals[key], run.time))
    return [
        f"{region} took {count} foreign requests within a second"
        for region, region_spans in spans.items()
        if (count := _count_max_in_window(region_spans)) > _deployment.SHIFT_CAP_PER_S
    ]


def _count_max_in_window(spans):
    return max(
        sum(arrival >= first and start < first + SHIFT_WINDOW_S for arrival, start in spans)
        for first, _ in spans
    )


def judge_retries(deployment):
    """Finds more retries and hedges of idempotent requests than the budgets allow."""
    sends = collections.Counter(
        envelope.body.request.body.decode()
        for envelope in _scenarios.list_sent(deployment)
        if envelope.kind == "run" and not envelope.is_answer
    )
    orders = len(deployment.list_results())
    repeated = sum(sends.values()) - len(sends)
    allowed = (RETRY_RATIO + HEDGE_RATIO) * orders
    return [f"{repeated} repeated sends of {orders} orders"] if repeated > allowed else []


def judge_leaving(deployment):
    """Finds requests that started at an upstream more than 3 s after it began to leave."""
    since = deployment.started + _scenarios.OPERATOR_ACTION_AT_S + MAX_DRAIN_DELAY_S
    late = [
        run
        for run in deployment.ledger.runs
        if run.upstream == deployment.leaving and run.time > since
    ]
    return [f"{run.upstream} got work {run.time - since:.3f} s late" for run in late]


def judge_stop(deployment):
    """Finds requests that a stopping dispatcher accepted after the stop or never completed."""
    node = deployment.dispatchers[0]
    stopped = deployment.started + _scenarios.OPERATOR_ACTION_AT_S
    late = [
        key
        for key, time in deployment.ledger.arrivals.items()
        if key[0] == node.name and time > stopped and key in _list_run_keys(deployment)
    ]
    violations = [f"{request_id} ran after the stop" for _, request_id in late]
    if node.is_alive and node.starts == 1 and node.core.list_requests():
        violations.append(f"{len(node.core.list_requests())} requests never ended")
    return violations


def _list_run_keys(deployment):
    return {(run.source, run.request.request_id) for run in deployment.ledger.runs}


def judge_poison(deployment):
    """Finds a poison request that crashed more upstreams than allowed."""
    allowed = MAX_POISON_DEATHS * (2 if deployment.world.had_cuts else 1)
    deaths = deployment.ledger.deaths[deployment.poison]
    return [f"{deaths} upstreams were taken down"] if deaths > allowed else []


ROWS = (
    Row("slots", _scenarios.run_load, judge_slots),
    Row("connections", _scenarios.run_connections, judge_connections),
    Row("region limit", _scenarios.run_load, judge_region),
    Row("shift cap", _scenarios.run_load, judge_shift),
    Row("link bytes", _linkworld.run_links, _linkworld.judge_links),
    Row("at most once", _scenarios.run_orders, judge_at_most_once),
    Row("verdicts", _scenarios.run_orders, judge_verdicts),
    Row("whole answers", _scenarios.run_orders, judge_answers),
    Row("leaving", _scenarios.run_leaving, judge_leaving),
    Row("planned stop", _scenarios.run_stop, judge_stop),
    Row("configuration", _configworld.run_configuration, _configworld.judge_configuration),
    Row("poison", _scenarios.run_poison, judge_poison),
    Row("retries", _scenarios.run_shedding, judge_retries),
)
