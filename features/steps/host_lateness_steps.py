"""Steps of host_lateness.feature."""

import re
import time

from behave import given, then, when

from skylarksill.host import lateness
from standins import platformdata

# Delays, one each second, after which the estimate has followed them.
LATE_STEPS = 10
TIMES_PATTERN = re.compile(r"(?:once|(\d+) times) by ([\d.]+) s")


@given("a task that is due each {interval:g} s")
def step_task(context, interval):
    context.lateness = lateness.Lateness()
    context.interval_s = interval


@when("it runs {delays} late")
def step_delays(context, delays):
    now = 100.0
    for count, delay_s in TIMES_PATTERN.findall(delays):
        for _ in range(int(count or 1)):
            due_at = now + context.interval_s
            now = due_at + float(delay_s)
            context.lateness.observe(due_at, now)


@then("the process is expected to be {least:g} to {most:g} s late")
def step_expected(context, least, most):
    estimate_s = context.lateness.estimate_s()
    assert least <= round(estimate_s, 6) <= most, estimate_s


@given("the host is {seconds:g} s late")
def step_late(context, seconds):
    now = time.monotonic() - LATE_STEPS
    for index in range(LATE_STEPS):
        context.world.lateness.observe(now + index - seconds, now + index)


@given("it has to end {seconds:g} s from now")
def step_ends(context, seconds):
    context.world.forwarder.ends_at = time.monotonic() + seconds


@when("an idempotent request with a deadline of {deadline:d} ms is sent")
def step_send(context, deadline):
    started_at = time.monotonic()
    with context.world.connect() as client:
        client.sendall(platformdata.format_request("GET /read/1", "r1", deadline_ms=deadline))
        context.answer = platformdata.AnswerReader(client).read()
    context.taken_s = time.monotonic() - started_at


@then("upstreams have run {count:d} requests")
def step_runs(context, count):
    assert context.world.count_runs() == count
