"""Steps of configuration_spread.feature."""

import subprocess
import sys

from behave import then, when

LIMIT_S = 120


@when("{runs:d} runs of versions and faults are played from seed {seed:d}")
def step_play(context, runs, seed):
    _play(context, "--seed", str(seed), "--runs", str(runs))


@when('all hosts lose the store for 4 s by "{mode}", and it drops its history')
def step_outage(context, mode):
    _play(context, "--runs", "1", "--outage", mode)


@when("{runs:d} runs with losses of the store's history are played from seed {seed:d}")
def step_lose_histories(context, runs, seed):
    _play(context, "--seed", str(seed), "--runs", str(runs), "--losses")


@when(
    "{runs:d} runs with removals while the store refuses some hosts are played from seed {seed:d}"
)
def step_remove(context, runs, seed):
    _play(context, "--seed", str(seed), "--runs", str(runs), module="bench.removal_spread")


@then("no host knew a removed upstream for longer than `drain`")
def step_removed(context):
    assert context.played.returncode == 0, context.played.stdout + context.played.stderr


@then("no host had other routes than those of one version, in order and in time")
def step_right(context):
    assert context.played.returncode == 0, context.played.stdout + context.played.stderr


def _play(context, *arguments, module="bench.configuration_spread"):
    # The runs need a hub of green threads of their own.
    command = [sys.executable, "-W", "ignore", "-m", module, *arguments]
    context.played = subprocess.run(command, capture_output=True, text=True, timeout=LIMIT_S)
