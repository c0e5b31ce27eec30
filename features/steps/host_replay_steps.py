"""Steps of host_decisions.feature that replay load patterns in the model of upstreams."""

import dataclasses

from behave import then

from bench import experiment, fleet_model
from skylarksill.host import placement, spill, steering

SEEDS = (1, 2, 3)


@then('in the load "{name}" {few:d} upstreams per object serve more in time than {many:d}')
def step_replay_choices(context, name, few, many):
    load = fleet_model.LOADS[name]
    assert _replay(load, placement, "FIT_CHOICES", few) > _replay(
        load, placement, "FIT_CHOICES", many
    )


@then('in the load "{name}" more is served in time and less rejected than without spare upstreams')
def step_replay_spare(context, name):
    load = fleet_model.LOADS[name]
    with_spare = _replay_results(load, placement, "MAX_SPARE_BUSY_SHARE", 0.5)
    without = _replay_results(load, placement, "MAX_SPARE_BUSY_SHARE", -1.0)
    in_time = [sum(result.in_time for result in results) for results in (with_spare, without)]
    rejected = [sum(result.rejected for result in results) for results in (with_spare, without)]
    assert in_time[0] > in_time[1] and rejected[0] < rejected[1], (in_time, rejected)


@then('in the load "{name}" moving objects to other regions serves more in time than not')
def step_replay_spill(context, name):
    load = fleet_model.LOADS[name]
    with_moves = _replay(load, spill, "MAX_SHARE", spill.MAX_SHARE)
    without_moves = _replay(load, spill, "MAX_SHARE", 0.0)
    assert with_moves > without_moves, (with_moves, without_moves)


@then(
    'in the first {seconds:g} s of the load "{name}" more is served in time'
    " than if the share grows from 0"
)
def step_replay_start(context, seconds, name):
    load = dataclasses.replace(fleet_model.LOADS[name], length_s=seconds)

    def return_no_share(self, service_id):
        return 0.0

    from_start = _replay(load, spill, "MAX_SHARE", spill.MAX_SHARE)
    from_zero = _replay(load, steering.Steering, "_estimate_first_share", return_no_share)
    assert from_start > from_zero, (from_start, from_zero)


@then('in the load "{name}" no region\'s share moves by more than {most:g}')
def step_replay_shift(context, name, most):
    for seed in SEEDS:
        result = fleet_model.Model(fleet_model.LOADS[name], seed).run()
        assert result.worst_shift <= most, (seed, result.worst_shift)


def _replay(load, owner, name, value):
    """Returns the mean share of requests in time with a replaced module or class attribute."""
    runs = _replay_results(load, owner, name, value)
    return sum(result.in_time_share for result in runs) / len(runs)


def _replay_results(load, owner, name, value):
    """Returns the Result of each seed with a replaced module or class attribute."""
    policy = experiment.Policy(name, ((owner, name, value),))
    return experiment.run_policy(policy, load, SEEDS)
