"""Steps of forwarding.feature."""

import hypothesis
from behave import given, then
from hypothesis import strategies

from features import builders, steering_builders
from skylarksill import forwarding, messages, records, retries, routing

EXAMPLE_COUNT = 400
MAX_STEPS = 100
DEADLINE_S = 4.0
# The arbiter may be asked again after the deadline.
MAX_OVERRUN_S = 1.5
TICKET = records.Ticket("t-1", "deposits", "host-0", "i-0", "host-1", "i-1", 0)
HOME_TARGET = forwarding.Target("host-0", "north-a", "north")
TARGETS = (
    HOME_TARGET,
    forwarding.Target("host-4", "north-a", "north"),
    forwarding.Target("host-1", "north-b", "north"),
    forwarding.Target("host-2", "south-a", "south"),
)
ANSWER = records.Answer(200, (), b"")
REASONS = ("queue_full", "other_home", "blocked_request", "connection_lost", "answer_too_long")

refusals = strategies.builds(
    lambda verdict, reason: messages.DispatchResult(
        verdict, None, records.Refusal(verdict, reason, "")
    ),
    strategies.sampled_from(records.Verdict),
    strategies.sampled_from(REASONS),
)
dispatch_events = strategies.one_of(
    strategies.just(forwarding.NotSent("")),
    strategies.just(forwarding.NotSent("", "link")),
    strategies.just(forwarding.NoAnswer("")),
    refusals.map(forwarding.Answered),
    strategies.just(
        forwarding.Answered(messages.DispatchResult(records.Verdict.RAN, ANSWER, None))
    ),
)
claim_events = strategies.one_of(
    strategies.just(forwarding.ArbiterFailed("")),
    strategies.sampled_from(records.ClaimState).map(
        lambda state: forwarding.ClaimAnswered(messages.ClaimResult(state))
    ),
    strategies.just(forwarding.ClaimAnswered(messages.ClaimResult(records.ClaimState.RAN, ANSWER))),
)


class Run:
    """Simulated request; ``steps`` holds its actions with the events that followed them."""

    def __init__(self, data, ticket, targets):
        self.steps = []
        self.now = 0.0
        state = forwarding.Forwarding(list(targets), DEADLINE_S, ticket)
        budget = retries.RetryBudget(1.0)
        for _ in range(3):
            budget.count_request(0.0)
        event = forwarding.Started()
        for _ in range(MAX_STEPS):
            action = forwarding.advance(state, event, self.now, budget)
            if isinstance(action, forwarding.Deliver):
                self.outcome = action
                return
            event = self._answer(data, action)
            self.steps.append((action, event))
        raise AssertionError("the request did not end")

    def _answer(self, data, action):
        match action:
            case forwarding.Dispatch(timeout_s=timeout_s):
                event = data.draw(dispatch_events)
                is_slow = data.draw(strategies.booleans())
                self.now += (
                    timeout_s if is_slow and isinstance(event, forwarding.NoAnswer) else 0.001
                )
                return event
            case forwarding.Revoke(timeout_s=timeout_s):
                event = data.draw(claim_events)
                has_arbiter_failed = isinstance(event, forwarding.ArbiterFailed)
                self.now += timeout_s if has_arbiter_failed else 0.001
                return event
            case forwarding.Pause(seconds=seconds):
                self.now += seconds
                return forwarding.Paused()

    def list_dispatches(self):
        return [
            (action, event) for action, event in self.steps if type(action) is forwarding.Dispatch
        ]

    def list_results(self):
        return [event.result for _, event in self.steps if hasattr(event, "result")]


def check_runs(context, check):
    @hypothesis.settings(
        max_examples=EXAMPLE_COUNT,
        derandomize=True,
        database=None,
        deadline=None,
    )
    @hypothesis.given(strategies.data())
    def run(data):
        check(Run(data, context.ticket, context.targets))

    run()


@given("random outcomes for requests with a ticket")
def step_with_ticket(context):
    context.ticket, context.targets = TICKET, (HOME_TARGET,)


@given("random outcomes for requests without a ticket")
def step_without_ticket(context):
    context.ticket, context.targets = None, TARGETS


@then("each request is sent only to its home and not again after it may have arrived there")
def step_only_home(context):
    def check(run):
        dispatches = run.list_dispatches()
        assert all(action.target == HOME_TARGET for action, _ in dispatches)
        assert all(isinstance(event, forwarding.NotSent) for _, event in dispatches[:-1])
        kinds = [type(action) for action, _ in run.steps]
        if forwarding.Revoke in kinds:
            assert forwarding.Dispatch not in kinds[kinds.index(forwarding.Revoke) :]

    check_runs(context, check)


@then("NOT_RUN is reported only if the home or the arbiter confirmed it")
def step_truthful_ticket(context):
    def check(run):
        if run.outcome.verdict is not records.Verdict.NOT_RUN:
            return
        last = run.list_results()[-1]
        if isinstance(last, messages.ClaimResult):
            assert last.state is records.ClaimState.REVOKED
        else:
            assert last.verdict is records.Verdict.NOT_RUN

    check_runs(context, check)


@then("no dispatcher gets a request twice and retries go to another zone than the failed attempts")
def step_no_repeat(context):
    def check(run):
        dispatches = run.list_dispatches()
        hosts = [action.target.host for action, _ in dispatches]
        assert len(hosts) == len(set(hosts))
        for index, (_, event) in enumerate(dispatches[:-1]):
            if not isinstance(event, forwarding.NotSent):
                failed = {action.target.zone for action, _ in dispatches[: index + 1]}
                assert dispatches[index + 1][0].target.zone not in failed

    check_runs(context, check)


@then("NOT_RUN is reported only if each attempt that was sent was answered with NOT_RUN")
def step_truthful(context):
    def check(run):
        if run.outcome.verdict is not records.Verdict.NOT_RUN:
            return
        assert not any(isinstance(event, forwarding.NoAnswer) for _, event in run.steps)
        assert all(result.verdict is records.Verdict.NOT_RUN for result in run.list_results())

    check_runs(context, check)


@then("each request ends soon after its deadline")
def step_ends(context):
    def check(run):
        assert run.now <= DEADLINE_S + MAX_OVERRUN_S, run.now

    check_runs(context, check)


@given("random sequences of requests and retries")
def step_random_load(context):
    gap_values = strategies.sampled_from((0.0, 0.001, 0.3, 2.0, 9.0))
    context.sequences = strategies.lists(
        strategies.tuples(strategies.integers(0, 60), strategies.integers(0, 8), gap_values),
        max_size=40,
    )


@then("after each retry the window has at most a tenth as many retries as requests")
def step_budget_held(context):
    @hypothesis.settings(
        max_examples=EXAMPLE_COUNT,
        derandomize=True,
        database=None,
        deadline=None,
    )
    @hypothesis.given(context.sequences)
    def run(sequence):
        budget = retries.RetryBudget(retries.MAX_RETRY_RATIO)
        now = 1_000.0
        requests, granted = [], []
        for request_count, retry_count, gap_s in sequence:
            for _ in range(request_count):
                budget.count_request(now)
                requests.append(now)
            taken = [now for _ in range(retry_count) if budget.take_retry(now)]
            granted += taken
            start = now // retries.BUCKET_S * retries.BUCKET_S - retries.WINDOW_S + retries.BUCKET_S
            retries_in_window = sum(time >= start for time in granted)
            assert not taken or 10 * retries_in_window <= sum(time >= start for time in requests)
            assert 10 * len(granted) <= len(requests)
            now += gap_s

    run()


@given("a retry budget that counted {count:d} requests {age:d} seconds ago")
def step_old_requests(context, count, age):
    context.budget = retries.RetryBudget()
    for _ in range(count):
        context.budget.count_request(0.0)
    context.now = float(age)


@then("the budget permits no retry")
def step_no_retry(context):
    assert not context.budget.take_retry(context.now)


@given("free slots of {free} at host-0, host-1, host-2 and host-3")
def step_free(context, free):
    configuration = builders.build_configuration()
    context.routing_table = routing.RoutingTable.build(configuration)
    context.view = routing.SteeringView()
    context.view.apply_report(
        context.routing_table, steering_builders.build_peers(configuration), (), 0.0
    )
    counts = [int(count) for count in free.split(", ")]
    loads = [
        steering_builders.build_load(host.host_id, "catalogue", 5, 5 - count)
        for host, count in zip(configuration.hosts, counts, strict=True)
    ]
    context.loads = {(load.host, load.service): load for load in loads}
    context.unreachable_hosts = set()


@given("{host:w}-{index:d} was unreachable recently")
def step_unreachable(context, host, index):
    context.unreachable_hosts.add(f"{host}-{index}")


@then("an entry host of {zone} ranks the dispatchers {order}")
def step_order(context, zone, order):
    ranked = routing.rank_dispatchers(
        context.routing_table,
        context.view,
        context.loads,
        "catalogue",
        zone,
        0,
        context.unreachable_hosts,
    )
    assert [host for host, _ in ranked] == order.split(", "), ranked
