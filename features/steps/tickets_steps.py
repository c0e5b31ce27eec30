"""Steps of tickets.feature."""

import hypothesis
from behave import given, then, when
from hypothesis import strategies

from features import builders
from skylarksill import records, tickets

START_MS = 1_700_000_000_000
ANSWER = records.Answer(200, (), b"paid")
NOT_RUN = records.Refusal(records.Verdict.NOT_RUN, "shed", "")
LOST = records.Refusal(records.Verdict.MAY_HAVE_RUN, "lost", "")


def make_ticket(ticket_id="t-1", lifetime_ms=tickets.TICKET_LIFETIME_MS):
    home, arbiter = ("h", "h1"), ("a", "a1")
    return tickets.new_ticket(ticket_id, "deposits", home, arbiter, START_MS, lifetime_ms)


class TicketWorld:
    """One ticket with its home and arbiter; counts runs and stores the outcome of each request."""

    def __init__(self, limits=tickets.TableLimits()):  # noqa: B008
        self.home = tickets.HomeTable("h", "h1", limits)
        self.arbiter = tickets.ArbiterTable("a", "a1")
        self.ticket = make_ticket()
        self.now = START_MS
        self.runs = 0
        self.outcomes = {}
        self.was_shed = False

    def apply(self, actions):
        for action in actions:
            match action:
                case tickets.Run():
                    self.runs += 1
                case tickets.Reply(waiter=waiter):
                    self.outcomes[waiter] = action.answer
                case tickets.Refuse(waiter=waiter):
                    self.outcomes[waiter] = action.refusal
                case tickets.CopyOutcome(ticket=ticket, verdict=verdict, answer=answer):
                    self.arbiter.record(ticket, verdict, answer, self.now)

    def open(self, waiter, ticket=None):
        self.apply(self.home.open(ticket or self.ticket, waiter, self.now))

    def claim(self):
        result = self.arbiter.claim(self.ticket, self.now)
        self.apply(self.home.apply_claim(self.ticket.ticket_id, result, self.now))

    def complete(self, outcome):
        # Only a run that has started can report an outcome.
        if self.runs:
            self.apply(self.home.complete(self.ticket.ticket_id, outcome, self.now))

    def revoke(self, waiter="revoker"):
        state = self.arbiter.revoke(self.ticket, self.now).state
        if state is records.ClaimState.REVOKED:
            self.outcomes[waiter] = NOT_RUN
        return state


@given("a signed ticket")
def step_signed_ticket(context):
    context.ticket = make_ticket()
    context.ticket_text = tickets.sign_ticket(builders.SHARED_KEY, context.ticket)


@when("its text is {damage}")
def step_damage_text(context, damage):
    foreign = tickets.sign_ticket(b"another key of some length", context.ticket)
    last = "A" if context.ticket_text[-1] != "A" else "Q"
    context.ticket_text = {
        "empty": "",
        "overlong": context.ticket_text * 20,
        "no base64": "!" + context.ticket_text[1:],
        "altered": context.ticket_text[:-2] + last + context.ticket_text[-1],
        "foreign": foreign,
    }[damage]


@then("verifying its text returns the same ticket")
def step_verified(context):
    verified = tickets.verify_ticket(builders.SHARED_KEY, context.ticket_text)
    assert verified == (context.ticket, None), verified


@then("it is refused because of its {part}")
def step_refused(context, part):
    ticket, problem = tickets.verify_ticket(builders.SHARED_KEY, context.ticket_text)
    assert ticket is None and problem.key == part, problem


@given("a home and an arbiter")
def step_home_and_arbiter(context):
    context.world = TicketWorld()


@given("a home that holds at most {count:d} tickets")
def step_small_table(context, count):
    context.world = TicketWorld(tickets.TableLimits(records=count))


@given("a home that keeps at most {size:d} bytes of answers")
def step_small_answer_store(context, size):
    context.world = TicketWorld(tickets.TableLimits(kept_bytes=size))


@when('request "{waiter}" opens the ticket')
def step_open(context, waiter):
    context.world.open(waiter)


@when("the arbiter answers the claim")
def step_claim(context):
    context.world.claim()


@when("the claim times out")
def step_claim_timeout(context):
    world = context.world
    world.apply(world.home.time_out_claim(world.ticket.ticket_id, world.now))


@when('the run is answered with "{text}"')
def step_answer(context, text):
    context.world.complete(records.Answer(200, (), text.encode()))


@when("the ticket is revoked")
def step_revoke(context):
    assert context.world.revoke() is records.ClaimState.REVOKED


@when("the home is paused for {seconds:d} s")
def step_pause(context, seconds):
    context.world.now += seconds * 1_000


@when("the wall clock is set back by {seconds:d} s")
def step_set_back(context, seconds):
    context.world.now -= seconds * 1_000


@when("the arbiter grants the claim, but the home is paused for {seconds:d} s")
def step_granted_late(context, seconds):
    world = context.world
    result = world.arbiter.claim(world.ticket, world.now)
    world.now += seconds * 1_000
    world.apply(world.home.apply_claim(world.ticket.ticket_id, result, world.now))


@when("{count:d} tickets are opened, the last with a lifetime of {minutes:d} minutes")
def step_open_many(context, count, minutes):
    for index in range(count - 1):
        context.world.open(str(index), make_ticket(f"t-{index}"))
    context.long_ticket = make_ticket("long", minutes * 60_000)
    context.world.open("long", context.long_ticket)


@when("{count:d} tickets run with answers of {size:d} bytes")
def step_run_many(context, count, size):
    world = context.world
    for index in range(count):
        ticket_id = f"t-{index}"
        world.open("first", make_ticket(ticket_id))
        granted = world.arbiter.claim(make_ticket(ticket_id), world.now)
        world.home.apply_claim(ticket_id, granted, world.now)
        world.home.complete(ticket_id, records.Answer(200, (), b"x" * size), world.now)
        world.open(ticket_id, make_ticket(ticket_id))
    context.kept = [world.home.open(make_ticket(f"t-{i}"), "z", world.now) for i in range(count)]


@then("the ticket ran {count:d} times")
def step_ran(context, count):
    assert context.world.runs == count, context.world.runs


@then('requests "{waiters}" got the answer "{text}"')
def step_answer_received(context, waiters, text):
    outcomes = context.world.outcomes
    assert all(outcomes[waiter].body == text.encode() for waiter in waiters), outcomes


@then('requests "{waiters}" got the verdict {verdict}')
def step_verdict_received(context, waiters, verdict):
    outcomes = context.world.outcomes
    assert all(outcomes[waiter].verdict.value == verdict for waiter in waiters), outcomes


@then("the arbiter answers a revocation with RAN")
def step_revocation_ran(context):
    result = context.world.arbiter.revoke(context.world.ticket, context.world.now)
    assert result.state is records.ClaimState.RAN and result.answer.body == b"paid", result


@then("only the last is refused, as NOT_RUN")
def step_last_refused(context):
    outcomes = context.world.outcomes
    assert set(outcomes) == {"long"} and outcomes["long"].limit == "tickets", outcomes


@then(
    "it is still refused after {minutes:d} minutes, when a ticket with a later expiry is accepted"
)
def step_refusal_final(context, minutes):
    world = context.world
    for ticket_id in ("t-0", "t-1"):
        world.home.complete(ticket_id, NOT_RUN, world.now)
    world.now += minutes * 60_000
    world.home.expire(world.now)
    world.open("again", context.long_ticket)
    world.open("later", make_ticket("later", 2 * minutes * 60_000))
    assert world.outcomes["again"].verdict is records.Verdict.NOT_RUN, world.outcomes
    assert "later" not in world.outcomes and len(world.home) == 1, world.outcomes


@then("the newest {count:d} answers are kept and the others are reported as RAN")
def step_kept(context, count):
    assert context.world.home.kept_bytes <= 1_000
    action_types = [type(actions[0]) for actions in context.kept]
    assert (
        action_types == [tickets.Refuse] * (len(action_types) - count) + [tickets.Reply] * count
    ), action_types
    assert context.kept[0][0].refusal.verdict is records.Verdict.RAN


@then("{count:d} random sequences of ticket events run it at most once with true verdicts")
def step_random_events(context, count):
    @hypothesis.settings(max_examples=count, derandomize=True, deadline=None, database=None)
    @hypothesis.given(strategies.lists(strategies.sampled_from(sorted(EVENTS)), max_size=14))
    def check(names):
        world = TicketWorld()
        for index, name in enumerate(names):
            EVENTS[name](world, f"{name}-{index}")
            assert world.runs <= 1, names
        verdicts = [
            getattr(outcome, "verdict", records.Verdict.RAN) for outcome in world.outcomes.values()
        ]
        assert (
            not (world.runs and set(verdicts) & {records.Verdict.NOT_RUN}) or world.was_shed
        ), names
        assert world.runs or records.Verdict.RAN not in verdicts, names

    check()


def shed(world, waiter):
    world.complete(NOT_RUN)
    world.was_shed = world.was_shed or world.home.find_state("t-1") is tickets.HomeState.REFUSED


def time_out(world, waiter):
    world.apply(world.home.time_out_claim("t-1", world.now))


def pause(world, waiter):
    world.now += 50_000


def set_back(world, waiter):
    world.now -= 40_000


EVENTS = {
    "answer": lambda world, waiter: world.complete(ANSWER),
    "claim": lambda world, waiter: world.claim(),
    "lose": lambda world, waiter: world.complete(LOST),
    "open": lambda world, waiter: world.open(waiter),
    "pause": pause,
    "revoke": lambda world, waiter: world.revoke(waiter),
    "set back": set_back,
    "shed": shed,
    "time out": time_out,
}
