"""Steps of host_bytebudget.feature."""

import random

from behave import given, then, when

from skylarksill.host import bytebudget


class _World:
    """A budget whose clock is set, and its holders by name."""

    def __init__(self, max_bytes):
        self.now = 0.0
        self.budget = bytebudget.ByteBudget(max_bytes, lambda: self.now)
        self.ended = []

    def add(self, name, address, size, moved, refusal_bytes=0):
        def end():
            self.ended.append(name)
            self.budget.release(holder.size, holder)
            if refusal_bytes:
                self.budget.hold(refusal_bytes)
                self.budget.restore_reserve()

        holder = bytebudget.Holder(address, end, lambda: moved)
        holder.begun_at = self.now
        self.budget.hold(size, holder)
        return holder


@given("a budget of {size:d} bytes")
def step_budget(context, size):
    context.bytes = _World(size)


@given('a holder "{name}" of address "{address}" with {size:d} bytes of which {moved:d} have moved')
def step_holder(context, name, address, size, moved):
    context.bytes.add(name, address, size, moved)


@given('{count:d} holders of "{address}" with {size:d} bytes of which {moved:d} have moved')
def step_holders(context, count, address, size, moved):
    for number in range(count):
        context.bytes.add(f"h{number}", address, size, moved)


@given(
    '{count:d} holders of "{address}" with {size:d} bytes of which {moved:d} have moved whose end '
    "asks for {refusal_bytes:d} byte"
)
def step_asking_holders(context, count, address, size, moved, refusal_bytes):
    for number in range(count):
        context.bytes.add(f"h{number}", address, size, moved, refusal_bytes)


@when("{seconds:g} s have passed for them and {size:d} bytes are taken for another holder")
def step_take_for_holder(context, seconds, size):
    context.bytes.now += seconds
    holder = bytebudget.Holder("10.0.0.9", lambda: None, lambda: 0)
    holder.begun_at = context.bytes.now
    context.is_taken = context.bytes.budget.take(size, holder)


@then("{count:d} of them were ended")
def step_count_ended(context, count):
    assert len(context.bytes.ended) == count, context.bytes.ended


@when("{seconds:g} s have passed for them and {size:d} bytes are taken")
def step_take(context, seconds, size):
    context.bytes.now += seconds
    context.is_taken = context.bytes.budget.take(size)


@then("the bytes have been taken")
def step_taken(context):
    assert context.is_taken


@then("the bytes have not been taken")
def step_not_taken(context):
    assert not context.is_taken


@then("these were ended: {names}")
def step_ended(context, names):
    expected = [] if names == "none" else names.split(", ")
    assert context.bytes.ended == expected, context.bytes.ended


@then("{runs:d} random runs of {steps:d} steps count exactly what is held")
def step_random(context, runs, steps):
    for seed in range(runs):
        rng = random.Random(seed)
        world = _World(2_000_000)
        holders = [
            world.add(number, f"10.0.0.{number % 3}", 0, rng.choice((0, 1e9)))
            for number in range(8)
        ]
        detached = 0
        for _ in range(steps):
            holder = rng.choice(holders)
            size = rng.randrange(0, 400_000)
            match rng.choice(("take", "hold", "release", "detach", "wait")):
                case "take":
                    world.budget.take(size, holder)
                case "hold":
                    world.budget.hold(size, holder)
                case "release":
                    world.budget.release(min(size, holder.size), holder)
                case "detach":
                    size = min(size, holder.size)
                    detached += size
                    world.budget.detach(size, holder)
                case "wait":
                    world.now += rng.random()
            held = sum(item.size for item in holders) + detached
            assert world.budget.used_bytes == held, (seed, world.budget.used_bytes, held)
        for holder in holders:
            world.budget.release(holder.size, holder)
        world.budget.release(detached)
        assert world.budget.used_bytes == 0, (seed, world.budget.used_bytes)
