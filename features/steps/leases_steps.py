"""Steps of leases.feature."""

import contextlib
import random

from behave import given, then, when

from features import platforms
from skylarksill import clock, leases, objectstore, records
from standins import platform

KEY = "leases/job"
ERRORS = {
    "LeaseLapsedError": leases.LeaseLapsedError,
    "StaleEpochError": leases.StaleEpochError,
    "StoreError": objectstore.StoreError,
}


class Holders:
    """Hosts that compete for one lease on a fake clock."""

    def __init__(self):
        self.clock = clock.FakeClock()
        self.platform = platform.Platform(max_wait_s=0)
        self.store = objectstore.ObjectStore(("", 1), "a", platforms.FakePool(self.platform))
        self.held = {}
        self.seen = {}

    def acquire(self, name, duration_s=10):
        try:
            self.held[name] = leases.acquire_lease(
                self.store, self.clock, KEY, name, duration_s, self.seen.get(name)
            )
        except leases.LeaseHeldError as error:
            self.seen[name] = error.observation
            raise

    def renew(self, name):
        self.held[name] = leases.renew_lease(self.store, self.clock, self.held[name])

    def check(self, name):
        return leases.check_lease(self.held[name], self.clock.monotonic())


def get_holders(context):
    if not hasattr(context, "holders"):
        context.holders = Holders()
        context.fence = leases.Fence()
    return context.holders


def expect(error_name, call, *arguments):
    try:
        call(*arguments)
    except ERRORS[error_name] as error:
        return error
    raise AssertionError(f"no {error_name} was raised")


@given('"{name}" holds a lease of 10 s')
@when('"{name}" acquires a lease of 10 s')
def step_acquire(context, name):
    get_holders(context).acquire(name)


@given("the next reply is lost")
@when("the next reply is lost")
def step_lose_reply(context):
    get_holders(context).platform.faults.lost_replies = 1


@given('"{name}" has checked its lease for an operation')
def step_checked(context, name):
    context.late_epoch = context.holders.check(name)


@when("{seconds:d} s pass")
def step_time_passes(context, seconds):
    context.holders.clock.advance(seconds)


@when("the platform has an outage")
def step_outage(context):
    context.holders.platform.faults.outage = True


@when('"{name}" renews')
def step_renew(context, name):
    context.holders.renew(name)


@when('a renewal of "{name}" takes effect without its knowledge')
def step_unseen_renewal(context, name):
    leases.renew_lease(context.holders.store, context.holders.clock, context.holders.held[name])


@when('"{name}" releases it')
def step_release(context, name):
    holders = context.holders
    leases.release_lease(holders.store, holders.clock, holders.held[name])


@then('"{name}" is told that "{holder}" holds it')
def step_holder_reported(context, name, holder):
    try:
        context.holders.acquire(name)
    except leases.LeaseHeldError as error:
        assert error.observation.record.holder == holder
        return
    raise AssertionError("acquired a held lease")


@then('"{name}" acquires it with epoch {epoch:d}')
def step_acquires_with_epoch(context, name, epoch):
    context.holders.acquire(name)
    assert context.holders.check(name) == epoch


@then('"{name}" may act with epoch {epoch:d}')
def step_may_act(context, name, epoch):
    assert context.holders.check(name) == epoch


@then('"{name}" changes the resource')
def step_changes_resource(context, name):
    context.fence.admit(context.holders.check(name))


@then('the next operation of "{name}" fails with {error_name}')
def step_operation_fails(context, name, error_name):
    expect(error_name, context.holders.check, name)


@then('a renewal by "{name}" fails with {error_name}')
def step_renewal_fails(context, name, error_name):
    expect(error_name, context.holders.renew, name)


@then('a renewal by "{name}" may have run')
def step_renewal_unclear(context, name):
    error = expect("StoreError", context.holders.renew, name)
    assert error.verdict is records.Verdict.MAY_HAVE_RUN


@then('an acquisition by "{name}" fails with {error_name}')
def step_acquisition_fails(context, name, error_name):
    expect(error_name, context.holders.acquire, name)


@then('the late operation of "a" fails with {error_name}')
def step_late_operation(context, error_name):
    expect(error_name, context.fence.admit, context.late_epoch)


@then("in {count:d} random histories at most one holder may act at a time and epochs rise")
def step_histories(context, count):
    valid_count = 0
    for seed in range(count):
        valid_count += run_history(random.Random(seed))
    assert valid_count > count, valid_count


def run_history(rng):
    """Runs one history and returns how often a holder held a valid lease in it."""
    holders, epochs, valid_count = Holders(), {}, 0
    for _ in range(60):
        faults = holders.platform.faults
        faults.lost_replies = rng.randrange(2)
        faults.outage = rng.random() < 0.15
        name = rng.choice("abc")
        action = rng.choice((holders.acquire, holders.renew))
        with contextlib.suppress(KeyError, leases.LeaseError, objectstore.StoreError):
            action(name)
        holders.clock.advance(rng.choice((0, 0.5, 2, 9.9, 10, 10.3)))
        now = holders.clock.monotonic()
        valid_leases = [lease for lease in holders.held.values() if now < lease.expires_at]
        # An epoch is skipped if an acquisition took effect although its holder saw it fail.
        tokens = {lease.record.token for lease in valid_leases}
        assert len(tokens) <= 1, valid_leases
        for lease in valid_leases:
            assert epochs.setdefault(lease.epoch, lease.record.token) == lease.record.token
            assert lease.epoch == max(epochs), epochs
        valid_count += len(valid_leases)
    return valid_count
