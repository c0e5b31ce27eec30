"""Steps of limits.feature."""

import random

from behave import given, then, when

from skylarksill import health, limits, loans, messages, queueing, suspects

MEDIAN_S = 0.05


@then("for {count:d} random arrival patterns any 1 s window admits at most its limit")
def step_any_window(context, count):
    for seed in range(count):
        rng = random.Random(seed)
        limit = rng.randrange(1, 20)
        window = limits.WindowLimit(limit)
        now, admitted = 0.0, []
        for _ in range(200):
            now += rng.choice([0.0, 0.01, 0.3, 1.0])
            if window.take(now):
                admitted.append(now)
        assert_windows([(time, 1) for time in admitted], 1.0, limit)


def assert_windows(events, window_s, limit):
    for start, _ in events:
        total = sum(size for time, size in events if start <= time < start + window_s)
        assert total <= limit, (start, total, limit)


@given("a window limit of {limit:d} that is full at {now:g} s")
def step_full_window(context, limit, now):
    context.window = limits.WindowLimit(limit)
    assert all(context.window.take(now) for _ in range(limit))


@when("the limit is raised to {limit:d} at {now:g} s")
def step_raise(context, limit, now):
    context.window.change_limit(limit, now)


@then("at {first:g} s nothing is admitted and at {second:g} s {count:d} are admitted")
def step_admitted(context, first, second, count):
    assert not context.window.take(first)
    assert sum(context.window.take(second) for _ in range(count + 5)) == count


@then("for {count:d} random patterns of answers any 100 ms window carries at most its budget")
def step_bytes(context, count):
    for seed in range(count):
        rng = random.Random(seed)
        budget = limits.ByteBudget(10_000)
        now, sent = 0.0, []
        for _ in range(100):
            now += rng.choice([0.0, 0.001, 0.05, 0.2])
            size = rng.randrange(1, 1000)
            while wait_s := budget.take(size, now):
                now += wait_s
            sent.append((now, size))
        # The window is half open, up to the rounding of floats.
        assert_windows(sent, limits.BYTE_WINDOW_S - 1e-9, 1000)


@given("a byte budget of {rate:d} bytes per second")
def step_budget(context, rate):
    context.budget = limits.ByteBudget(rate)


@then("{too_many:d} bytes are refused and {size:d} bytes may be sent at once")
def step_too_many(context, too_many, size):
    assert context.budget.take(too_many, 5.0) is None
    assert context.budget.take(size, 5.0) == 0.0


@then("for {count:d} random weights the shares sum to the total in any order of the keys")
def step_shares(context, count):
    for seed in range(count):
        rng = random.Random(seed)
        weights = {f"host-{index}": rng.randrange(1, 30) for index in range(rng.randrange(1, 9))}
        total = rng.randrange(500)
        shares = limits.split_share(total, weights)
        assert sum(shares.values()) == total
        assert shares == limits.split_share(total, dict(reversed(weights.items())))


@given("a loan that was requested at {requested_at:g} s and granted at {granted_at:g} s")
def step_loan(context, requested_at, granted_at):
    context.lender, context.borrower = loans.LenderTable(), loans.BorrowerTable()
    assert context.lender.grant("u", "host-0", granted_at)
    context.borrower.accept(("u",), requested_at, loans.LOAN_DURATION_S)


@then("the borrower holds it at {inside:g} s and not at {outside:g} s")
def step_held(context, inside, outside):
    assert context.borrower.is_held("u", inside)
    assert not context.borrower.is_held("u", outside)


@then("the lender may use the slot itself at {time:g} s and not before")
def step_lender_reuse(context, time):
    assert not context.lender.is_returned("u", time - 0.001)
    assert context.lender.is_returned("u", time + 1e-9)
    assert context.borrower.compute_max_deadline("u") + 0.5 <= time


@then("another borrower gets nothing at {early:g} s and the slot at {late:g} s")
def step_second_borrower(context, early, late):
    assert not context.lender.grant("u", "host-1", early)
    assert context.lender.grant("u", "host-1", late + 1e-9)


@given("a queue with a mean of {mean_s:g} s, a long request and {count:d} short ones")
def step_queue(context, mean_s, count):
    context.queue = queueing.ServiceQueue(mean_s)
    context.queue.push("long", "long", True, 0.0)
    for index in range(count):
        context.queue.push(f"short-{index}", "short", False, 0.0)


@then("at {early:g} s a short request starts and at {late:g} s the long one")
def step_starts(context, early, late):
    assert context.queue.pop(True, early).item == "short"
    assert context.queue.pop(True, late).item == "long"


@then("nothing starts while long work holds its share")
def step_nothing_starts(context):
    assert context.queue.pop(False, 100.0) is None
    assert context.queue.pop(True, 100.0).item == "long"


@given("the health of {count:d} upstreams")
def step_health(context, count):
    context.health_table = health.HealthTable()
    context.now = 100.0
    context.upstream_ids = [f"u{index}" for index in range(count)]
    for upstream_id in context.upstream_ids:
        context.health_table.add(upstream_id, context.now)


def record_answered_request(context, upstream_id, latency_s):
    start = context.health_table.record_start(upstream_id, context.now)
    context.health_table.record_answer(upstream_id, start, MEDIAN_S, context.now + latency_s)


def update_states(context):
    context.now += 10
    context.health_table.update_states(MEDIAN_S, context.now)
    return [
        context.health_table.find_state(upstream_id).name for upstream_id in context.upstream_ids
    ]


@when("3 of the last 5 requests of upstream 0 are late")
def step_late(context):
    answer_late(context, context.upstream_ids[:1])


@when("3 of the last 5 requests of all upstreams are late")
def step_all_late(context):
    answer_late(context, context.upstream_ids)


def answer_late(context, upstream_ids):
    for upstream_id in upstream_ids:
        for latency_s in (0.01, 1.0, 1.0, 0.01, 1.0):
            record_answered_request(context, upstream_id, latency_s)
    context.states = update_states(context)


@when("the next 2 requests of upstream 0 are fast")
def step_fast(context):
    record_answered_request(context, "u0", 0.01)
    record_answered_request(context, "u0", 0.01)
    context.states = update_states(context)


@when("upstream 0 runs 1 request for 100 s and answers 10 others quickly")
def step_one_long(context):
    context.health_table.record_start("u0", context.now)
    context.now += 100
    for _ in range(10):
        record_answered_request(context, "u0", 0.01)
    context.states = update_states(context)


@then("upstream 0 is {state}")
def step_state(context, state):
    assert context.states[0] == state, context.states


@then("1 upstream is EJECTED and 4 are SLOWED")
def step_third_ejected(context):
    assert sorted(context.states) == ["EJECTED"] + ["SLOWED"] * 4, context.states


@given("a suspect table with 1 death of its own and a block reported by a peer")
def step_suspects(context):
    context.suspects = suspects.SuspectTable("host-0")
    context.entry = context.suspects.record_death("own", 0.0)
    context.suspects.merge(messages.SuspectEntry("peer@host-1", 2, 600_000), 0.0)


@when("the peer clears both")
def step_clear(context):
    for name in ("own@host-1!", "peer@host-1!"):
        context.suspects.merge(messages.SuspectEntry(name, 2, 60_000), 1.0)


@when("a peer sends the table's own entry back")
def step_echo(context):
    context.suspects.merge(context.entry, 0.1)


@when("a peer reports another death caused by the same request")
def step_other_death(context):
    context.suspects.merge(messages.SuspectEntry("own@host-1", 1, 60_000), 1.0)


@then("its own suspect may run alone once the notice period is over")
def step_alone(context):
    assert context.suspects.is_seen_only_here("own", 1.0) and not context.suspects.is_blocked(
        "own", 1.0
    )
    assert not context.suspects.is_notice_over("own", 0.2)
    assert context.suspects.is_notice_over("own", 0.3)


@then("its own suspect is blocked")
def step_own_blocked(context):
    assert context.suspects.is_blocked("own", 1.0)


@then("its own suspect remains and the block of the peer remains")
def step_suspect_and_block_remain(context):
    assert context.suspects.is_suspect("own", 2.0)
    assert context.suspects.is_blocked("peer", 2.0)


@then("after 61 s only the block is left and after 601 s nothing is")
def step_expired(context):
    assert not context.suspects.is_suspect("own", 61.0)
    assert context.suspects.is_blocked("peer", 61.0)
    assert not context.suspects.is_suspect("peer", 601.0)
    assert context.suspects.list_entries(601.0) == ()


@then("of {count:d} senders of {size:d} bytes that wake at {now:g} s one sends and the others wait")
def step_wake_together(context, count, size, now):
    waits = [context.budget.take(size, now) for _ in range(count)]
    assert waits[0] == 0.0
    assert all(wait_s > 0 for wait_s in waits[1:])
