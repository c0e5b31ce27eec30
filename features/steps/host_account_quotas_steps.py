"""Steps of host_account_quotas.feature."""

import random
import time

import eventlet
import msgpack
from behave import given, then, when

from features import credit_builders
from skylarksill.host import (
    _creditborrowing,
    _creditholders,
    accountcredit,
    accounts,
    creditcodec,
)

ACCOUNT = "shop"
SEED = 1
ROUNDING = 1e-9
# Whole permits that the holders of an account of 2 requests a second keep, 3 of 4 hosts.
DEPTH = 10


def _deal(name, host_ids, depth, account_id=ACCOUNT):
    table = _creditholders.HolderTable(name)
    table.update(frozenset(host_ids), frozenset(host_ids), 0.0)
    return table.find_deal(account_id, depth).share


def _name_hosts(rng, most=60):
    return [f"h{index}" for index in rng.sample(range(1_000), rng.randint(1, most))]


@then("for {count:d} random sets of hosts and depths the shares sum to 1")
def step_sums(context, count):
    rng = random.Random(SEED)
    for _ in range(count):
        names, depth = _name_hosts(rng), rng.randint(1, 400)
        account_id = f"account-{rng.random()}"
        total = sum(_deal(name, names, depth, account_id) for name in names)
        assert abs(total - 1.0) < ROUNDING, (total, names, depth)


@then("for {count:d} random sets of new and forgotten hosts the shares sum to at most 1")
def step_sums_differ(context, count):
    rng = random.Random(SEED)
    for _ in range(count):
        alive, depth = _name_hosts(rng), rng.randint(1, 400)
        dead = [f"dead-{index}" for index in range(rng.randint(0, 10))]
        shares = [
            _deal(name, alive + rng.sample(dead, rng.randint(0, len(dead))), depth)
            for name in alive
        ]
        assert sum(shares) < 1.0 + ROUNDING, (shares, depth)


@then("holders that are found step by step are those that are found at once")
def step_incremental(context):
    rng = random.Random(SEED)
    names = [f"h{index}" for index in range(200)]
    rng.shuffle(names)
    table = _creditholders.HolderTable(names[0])
    for count in (1, 30, 31, 80, 200):
        known = frozenset(names[:count])
        table.update(known, known, 0.0)
        found = table.find_deal(ACCOUNT, 100)
        fresh = _creditholders.HolderTable(names[0])
        fresh.update(known, known, 0.0)
        assert found == fresh.find_deal(ACCOUNT, 100), count


@given("{count:d} hosts with an account of {rate:g} requests a second")
def step_hosts(context, count, rate):
    names = [f"h{index}" for index in range(count)]
    context.hosts = credit_builders.CreditHosts(names, [credit_builders.build_account(rate=rate)])
    context.hosts.advance(credit_builders.FULL_AFTER_S)
    context.holder = context.hosts.find_holder(ACCOUNT)
    context.credit = context.hosts.tables[context.holder]
    context.held = _count_held(context)


def _count_held(context):
    return context.hosts.tables[context.holder].count_free(ACCOUNT, context.hosts.now)


def _wait_until(context, seconds):
    """Lets time pass until ``seconds`` after the event."""
    context.hosts.advance(context.event_at + seconds - context.hosts.now)


@when("a holder spends its share and restarts")
def step_restart(context):
    _restart(context, False)


@when("a holder spends its share and restarts, and was registered before")
def step_restart_counted(context):
    _restart(context, True)


def _restart(context, is_counted):
    assert len(context.hosts.take_all(context.holder, ACCOUNT)) == context.held > 0
    context.hosts.start(context.holder, is_counted)
    context.event_at = context.hosts.now


@when("a holder is frozen for {seconds:g} s")
def step_freeze(context, seconds):
    context.hosts.now += seconds
    context.hosts.update(context.holder)
    context.event_at = context.hosts.now


@then("it has no permits for {seconds:g} s")
def step_no_permits(context, seconds):
    _wait_until(context, seconds)
    assert not context.hosts.take_all(context.holder, ACCOUNT)


@then("it lends none for {seconds:g} s")
def step_lends_none(context, seconds):
    _wait_until(context, seconds)
    (granted,) = context.hosts.ask("other", context.holder, ACCOUNT, 1).granted
    assert not granted.count and granted.retry_s > 0.0, granted


@then("it has its share again after {seconds:g} s")
def step_share(context, seconds):
    _wait_until(context, seconds)
    assert len(context.hosts.take_all(context.holder, ACCOUNT)) == context.held


def _borrow(context, count):
    (granted,) = context.hosts.ask("other", context.holder, ACCOUNT, count, 7).granted
    assert granted.count == count, granted
    context.event_at = context.hosts.now


@when("a host borrows {count:d} permits of a holder and gives no report")
def step_borrow(context, count):
    _borrow(context, count)


@when("a host borrows {count:d} permits of a holder and reports {unused:d} of them unused, twice")
def step_report(context, count, unused):
    _borrow(context, count)
    report = creditcodec.Report(7, accountcredit.compute_key(ACCOUNT), unused)
    for _ in range(2):
        request = creditcodec.CreditRequest(0, (), (report,))
        context.credit.answer(context.hosts.get_sender("other"), request, context.hosts.now)


@then("the holder lacks {count:d} permits")
def step_lacks(context, count):
    assert _count_held(context) == context.held - count


@when("{count:d} permits are taken and given back after {seconds:g} s")
def step_hold(context, count, seconds):
    taken = context.hosts.take_all(context.holder, ACCOUNT, count)
    assert len(taken) == count
    context.hosts.advance(seconds)
    for permit in taken:
        context.credit.give_back(permit, context.hosts.now)


@then("the holder has them again after {seconds:g} s")
def step_has_again(context, seconds):
    _wait_until(context, seconds)
    assert _count_held(context) == context.held


@when("the same credit request arrives twice")
def step_twice(context):
    context.answers = [context.hosts.ask("other", context.holder, ACCOUNT, 2, 7) for _ in range(2)]


@then("the second one is not answered")
def step_not_answered(context):
    first, second = context.answers
    assert first.granted[0].count == 2 and second is None
    assert _count_held(context) == context.held - 2


def _accept(context, delay_s, is_asked=True):
    """Lets a host that is out of credit borrow; returns the permits and the host's name."""
    hosts = context.hosts
    name = next(name for name in hosts.names if name != context.holder)
    hosts.advance(credit_builders.USABLE_AFTER_S)
    hosts.take_all(name, ACCOUNT)
    requests = hosts.list_requests(name, ACCOUNT, 2)
    lender, request = next(found for found in requests if found[1].wanted)
    grant = hosts.tables[lender].answer(hosts.get_sender(name), request, hosts.now)
    assert grant.granted[0].count
    hosts.now += delay_s
    hosts.tables[name].poll(hosts.now)
    hosts.tables[name].accept(lender if is_asked else "other", grant, hosts.now)
    hosts.tables[name].set_waiting(ACCOUNT, 0)
    return hosts.tables[name]


@then("a grant that arrives after {delay:g} s yields permits that end after {rest:g} s more")
def step_late_grant(context, delay, rest):
    table = _accept(context, delay)
    permit = _take_borrowed(table, context.hosts.now)
    assert permit is not None
    assert table.confirm(permit, context.hosts.now)
    assert not table.confirm(permit, context.hosts.now + rest)
    assert _take_borrowed(table, context.hosts.now + rest) is None


def _take_borrowed(table, now):
    """Takes a permit; returns it if it is borrowed, else None."""
    permit = table.take(ACCOUNT, now)
    return permit if permit is not None and permit.loan is not None else None


@then("a grant that arrives after {delay:g} s yields none")
def step_too_late_grant(context, delay):
    assert delay > _creditborrowing.LOAN_S
    assert _take_borrowed(_accept(context, delay), context.hosts.now) is None


@then("a grant from a host that was not asked yields none")
def step_foreign_grant(context):
    assert _take_borrowed(_accept(context, 0.1, is_asked=False), context.hosts.now) is None


@when("the host spends {count:d} permits and the limit is lowered to {rate:g} requests a second")
def step_lower(context, count, rate):
    hosts = context.hosts
    assert len(hosts.take_all(context.holder, ACCOUNT, count)) == count
    lowered = {ACCOUNT: credit_builders.build_account(rate=rate)}
    context.credit.configure(lowered, credit_builders.BOUNDS, hosts.now)
    context.event_at = hosts.now


@when("the host spends {count:d} permits and the account is removed for {seconds:g} s")
def step_remove(context, count, seconds):
    hosts = context.hosts
    assert len(hosts.take_all(context.holder, ACCOUNT, count)) == count
    context.credit.configure({}, credit_builders.BOUNDS, hosts.now)
    hosts.advance(seconds)
    context.credit.configure(hosts.accounts, credit_builders.BOUNDS, hosts.now)
    context.event_at = hosts.now


@when("the limit of the account is removed and another host asks for a permit")
def step_ask_removed(context):
    context.credit.configure({}, credit_builders.BOUNDS, context.hosts.now)
    context.answer = context.hosts.ask("other", context.holder, ACCOUNT, 1)


@then("none is lent, and the borrower is told to ask again later")
def step_none_lent(context):
    (granted,) = context.answer.granted
    assert not granted.count and granted.retry_s > 0.0, granted


@then("a refusal of the account still names a time")
def step_refusal_time(context):
    assert context.credit.estimate_retry_after_s(ACCOUNT, context.hosts.now) > 0.0


@then("the account has at most {count:d} permits")
def step_count(context, count):
    assert len(context.hosts.take_all(context.holder, ACCOUNT)) <= count


@when("a permit is taken, and its request is to be sent after {seconds:g} s")
def step_send_late(context, seconds):
    context.permit = context.credit.take(ACCOUNT, context.hosts.now)
    assert context.credit.confirm(context.permit, context.hosts.now)
    context.hosts.advance(seconds)


@then("the permit has ended")
def step_ended(context):
    assert not context.credit.confirm(context.permit, context.hosts.now)


@then("each of the malformed messages about credit is rejected")
def step_malformed(context):
    key = accountcredit.compute_key(ACCOUNT)
    contents = (
        (2, 1, 1, [], []),
        (1, 3, 1, [], []),
        (1, 1, 1, []),
        (1, 1, -1, [], []),
        (1, 1, 1, [(key[:7], 1, 0)], []),
        (1, 1, 1, [(key, -1, 0)], []),
        (1, 1, 1, [(key, True, 0)], []),
        (1, 1, 1, [(key, 1, 0)] * 51, []),
        (1, 1, 1, [], [(1, key, -5)]),
        (1, 2, 1, [(key, 10**9, 0)]),
        (1, 2, 1, [(key, 1, "soon")]),
        (1, 2, 1, None),
        7,
    )
    payloads = [creditcodec.MARK + msgpack.packb(content) for content in contents]
    for payload in (*payloads, b"", b"\x96", creditcodec.MARK, creditcodec.MARK + b"\xff\xc1"):
        try:
            message = creditcodec.decode(payload)
        except creditcodec.CreditCodecError:
            continue
        raise AssertionError(f"{payload!r} was decoded as {message}")


@then("messages about credit survive encoding")
def step_encoding(context):
    key = accountcredit.compute_key(ACCOUNT)
    for message in (
        creditcodec.CreditRequest(
            3, (creditcodec.Wanted(key, 2, 1),), (creditcodec.Report(1, key, 4),)
        ),
        creditcodec.CreditGrant(3, (creditcodec.Granted(key, 2, 1.5),)),
    ):
        payload = creditcodec.encode(message)
        assert creditcodec.is_credit(payload) and creditcodec.decode(payload) == message


@given("{count:d} brokers over loopback with an account of {rate:g} requests a second")
def step_brokers(context, count, rate):
    context.account = credit_builders.build_account(rate=rate)
    names = [f"h{index}" for index in range(count)]
    context.brokers = credit_builders.start_brokers(names, [context.account], time.monotonic())
    for host in context.brokers.values():
        context.add_cleanup(host.stop)
    until = time.monotonic() + 5.0
    while time.monotonic() < until and not _know_each_other(context):
        eventlet.sleep(0.05)
    assert _know_each_other(context)
    # The brokers list the live hosts at this interval.
    eventlet.sleep(0.6)


def _know_each_other(context):
    now, count = time.monotonic(), len(context.brokers) - 1
    return all(len(host.loopback.list_alive(now)) == count for host in context.brokers.values())


def _find_borrower(context):
    """Returns the name of the host without a share."""
    shares = {name: _deal(name, context.brokers, DEPTH) for name in context.brokers}
    return next(name for name, share in shares.items() if not share)


@when("a host without a share is asked for {count:d} permits within {seconds:g} s")
def step_ask_brokers(context, count, seconds):
    broker = context.brokers[_find_borrower(context)].broker
    pool = eventlet.GreenPool()
    threads = []
    for _ in range(count):
        threads.append(pool.spawn(broker.acquire, context.account, 0.25))
        eventlet.sleep(seconds / count)
    context.results = [thread.wait() for thread in threads]


@then("between {least:d} and {most:d} of them are granted")
def step_granted(context, least, most):
    granted = [found for found in context.results if isinstance(found, accountcredit.Permit)]
    assert least <= len(granted) <= most, len(granted)


@then("each refusal names a reason and a time of at least {least:g} s")
def step_refusals(context, least):
    refusals = [found for found in context.results if isinstance(found, accounts.CreditRefusal)]
    assert refusals
    assert all(found.reason and found.retry_after_s >= least for found in refusals), refusals


@then("all hosts still know each other")
def step_know(context):
    assert _know_each_other(context)


@when("the other hosts die and a host without a share is asked for a permit")
def step_die(context):
    name = _find_borrower(context)
    broker = context.brokers[name].broker
    for other, host in context.brokers.items():
        if other != name:
            host.stop()
    while isinstance(broker.acquire(context.account, 0.0), accountcredit.Permit):
        pass
    started_at = time.monotonic()
    context.results = [broker.acquire(context.account, 0.25)]
    context.waited_s = time.monotonic() - started_at


@then('it is refused within {most:g} s as "{reason}"')
def step_refused(context, most, reason):
    (refusal,) = context.results
    assert isinstance(refusal, accounts.CreditRefusal) and refusal.reason == reason, refusal
    assert context.waited_s <= most, context.waited_s


@when("all permits are taken and one is given back twice")
def step_give_back(context):
    (host,) = context.brokers.values()
    context.results = [host.broker.acquire(context.account, 0.0) for _ in range(DEPTH)]
    assert all(isinstance(found, accountcredit.Permit) for found in context.results)
    for _ in range(2):
        host.broker.give_back(context.results[0])


@then("exactly one permit is granted")
def step_one(context):
    (host,) = context.brokers.values()
    results = [host.broker.acquire(context.account, 0.0) for _ in range(3)]
    assert [isinstance(found, accountcredit.Permit) for found in results] == [True, False, False]
