"""Steps of dispatching.feature that check the outcomes."""

from behave import then

from features import dispatch_runs
from skylarksill import dispatching, records

FIRST_UPSTREAM = "own-0"


def list_outcomes(context, requests):
    return [context.world.find_verdict(request_id) for request_id in requests]


@then("no upstream ran more requests than its slots")
@then("no invariant was broken")
def step_no_violation(context):
    assert context.world.runs, "nothing ran"
    assert not context.world.violations, context.world.violations


@then("host-0 started nothing between 0.1 s and 4.5 s after its start")
def step_nothing_early(context):
    early = [time for time, host, _, _ in context.world.starts if host == "host-0"]
    assert not [time for time in early if 0 < time - context.marked_at < 4.5], early
    assert [time for time in early if time > context.marked_at]


@then("{host} ran requests at {upstream}")
def step_ran_at(context, host, upstream):
    pairs = {
        (by, up) for time, by, up, _ in context.world.starts if time > context.stream_started_at
    }
    assert (host, upstream) in pairs, pairs


@then("host-0 started nothing on a borrowed slot after 2 s")
def step_no_loan(context):
    owned = 2
    late = [
        (time, up)
        for time, host, up, _ in context.world.starts
        if host == "host-0" and time > context.marked_at + 2.3
    ]
    # Each request takes 0.2 s, so that owned slots start at most this many in any 0.2 s.
    for upstream in ("catalogue-north-a", "deposits-north-a"):
        times = [time for time, up in late if up == upstream]
        assert times and dispatch_runs.count_max_in_window(times, 0.199) <= owned


@then("no upstream has run a request")
def step_no_run(context):
    assert not context.world.runs


@then("host-0 admitted at most {count:d} foreign requests in any second")
def step_foreign_rate(context, count):
    times = [time for time, _, _, request_id in context.world.starts if request_id[0] == "r"]
    assert (
        0 < dispatch_runs.count_max_in_window(times, 0.999) <= count
    ), dispatch_runs.count_max_in_window(times, 0.999)


@then("the excess was reported as not run with the limit {limit}")
def step_limit(context, limit):
    refusals = list_refusals(context)
    assert refusals and all(
        refusal.limit == limit and refusal.verdict is records.Verdict.NOT_RUN
        for refusal in refusals
    )


def list_refusals(context):
    ended = (context.world.outcomes.get(request_id, [None])[0] for request_id in context.requests)
    return [action.refusal for action in ended if isinstance(action, dispatching.Refuse)]


@then("at most 2 upstreams died")
def step_deaths(context):
    assert 1 <= len(context.world.deaths) <= 2, context.world.deaths


@then("each request has ended once")
def step_all_ended(context):
    assert all(len(context.world.outcomes[request_id]) == 1 for request_id in context.requests)


@then("the last request was reported as not run because of {reason}")
def step_last_reason(context, reason):
    outcome = context.world.find_verdict(context.requests[-1])
    assert outcome == (records.Verdict.NOT_RUN, reason), outcome


@then("all requests but the poison request were answered")
def step_all_but_poison_answered(context):
    outcomes = list_outcomes(context, context.harmless)
    assert all(outcome == (records.Verdict.RAN, None) for outcome in outcomes), outcomes


@then("the deposit was reported as may have run and ran once")
def step_deposit_may_have_run(context):
    assert context.world.find_verdict("r0")[0] is records.Verdict.MAY_HAVE_RUN
    assert context.world.runs["r0"] == 1


@then("the first 3 requests were reported as may have run")
def step_first_may_have_run(context):
    outcomes = list_outcomes(context, context.requests[:3])
    assert all(outcome[0] is records.Verdict.MAY_HAVE_RUN for outcome in outcomes), outcomes


@then("each answer belongs to its request")
def step_answers_match(context):
    answered = 0
    for request_id in context.requests:
        for action in context.world.outcomes[request_id]:
            if isinstance(action, dispatching.Reply):
                answered += 1
                assert action.answer.body.decode() == request_id
    assert answered
    assert not context.world.violations, context.world.violations


@then("the deposit is sent to the other upstream")
def step_other_upstream(context):
    sends = [action for action in context.actions if isinstance(action, dispatching.Send)]
    assert [send.upstream.upstream_id != context.first_upstream for send in sends] == [True]


@then("the deposit is reported as may have run")
def step_reported(context):
    assert not [action for action in context.actions if isinstance(action, dispatching.Send)]
    (refusal,) = [a.refusal for a in context.actions if isinstance(a, dispatching.Refuse)]
    assert refusal.verdict is records.Verdict.MAY_HAVE_RUN


@then("the first upstream got no request after the sign")
def step_no_request_after_sign(context):
    late = [up for time, _, up, _ in context.world.starts if time > context.marked_at + 0.002]
    assert late and FIRST_UPSTREAM not in late


@then("requests were refused with the limit {limit} when they arrived")
def step_refused_limit(context, limit):
    assert any(refusal.limit == limit for refusal in list_refusals(context))


@then("at least {count:d} requests were answered")
def step_answered(context, count):
    outcomes = list_outcomes(context, context.requests)
    answered = sum(outcome == (records.Verdict.RAN, None) for outcome in outcomes)
    assert answered >= count, answered


@then("at most {count:d} requests passed their deadline")
def step_passed_deadline(context, count):
    outcomes = list_outcomes(context, context.requests)
    late = [outcome for outcome in outcomes if "deadline" in str(outcome[1])]
    assert len(late) <= count, len(late)


@then("at most {count:d} requests ran at the same time")
def step_at_most_running(context, count):
    context.world.advance(0.01)
    running = sum(context.world.count_running(f"own-{index}") for index in range(5))
    assert 0 < running <= count, running


@then("at most {count:d} requests of the route {route} ran at the same time")
def step_at_most_running_on_route(context, count, route):
    times = [
        time for time, _, _, request_id in context.world.starts if is_routed(context, request_id)
    ]
    assert (
        0 < dispatch_runs.count_max_in_window(times, 1.999) <= count
    ), dispatch_runs.count_max_in_window(times, 1.999)


def is_routed(context, request_id):
    return request_id in context.routed


@then("the other requests took at most 0.2 s")
def step_others_fast(context):
    context.world.advance(0.2)
    outcomes = list_outcomes(context, context.spread_requests)
    assert all(outcome == (records.Verdict.RAN, None) for outcome in outcomes), outcomes
    starts = {request_id: time for time, _, _, request_id in context.world.starts}
    first = min(starts[request_id] for request_id in context.spread_requests)
    for position, request_id in enumerate(context.spread_requests):
        assert starts[request_id] - first - position * 0.01 <= 0.15


@then("hedges were sent, at most {count:d}")
def step_hedges(context, count):
    assert 0 < context.world.decision_counts["hedge"] <= count, context.world.decision_counts


@then("no hedges were sent")
def step_no_hedges(context):
    assert context.world.decision_counts["hedge"] == 0


@then("the slowed upstream ran at most {count:d} more requests")
def step_slowed_upstream_runs(context, count):
    late = [
        up
        for time, _, up, _ in context.world.starts
        if time > context.marked_at and up == FIRST_UPSTREAM
    ]
    assert len(late) <= count, len(late)


@then("the first upstream runs {count:d} requests")
def step_running(context, count):
    context.world.advance(0.01)
    assert context.world.count_running(FIRST_UPSTREAM) == count, context.world.count_running(
        FIRST_UPSTREAM
    )
