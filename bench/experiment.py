"""Compares placement policies side by side in the model of upstreams under load.

``python -m bench.experiment --chart docs/policies.svg`` plays each load with each policy and the
same seeds, prints a table, and draws a chart.
"""

import argparse
import contextlib
import dataclasses
import statistics

import matplotlib

matplotlib.use("Agg")

from matplotlib import pyplot  # noqa: E402

from bench import fleet_model  # noqa: E402
from skylarksill.host import placement, spill  # noqa: E402

CHART_SIZE_INCHES = (9.0, 4.0)
# Fixed, so that an unchanged chart is the same file.
CHART_HASH_SALT = "skylarksill"


@dataclasses.dataclass(frozen=True, slots=True)
class Policy:
    """A placement policy: the current one with other values of constants.

    Attributes:
      name: Name in the table and the chart.
      changes: Tuple of a module, the name of a constant in it, and its value.
    """

    name: str
    changes: tuple = ()


POLICIES = (
    Policy("current"),
    Policy("two upstreams an object", ((placement, "FIT_CHOICES", 2),)),
    Policy("no spare upstreams", ((placement, "MAX_SPARE_BUSY_SHARE", -1.0),)),
    Policy("no moves between regions", ((spill, "MAX_SHARE", 0.0),)),
    Policy("accept up to the whole target", ((placement, "COMPLETION_TARGET_SHARE", 1.0),)),
)


@dataclasses.dataclass(frozen=True, slots=True)
class Row:
    """Means over the seeds of one load and policy, as shares of the requests.

    Attributes:
      deviation: Standard deviation of ``in_time`` over the seeds.
    """

    load: str
    policy: str
    in_time: float
    deviation: float
    late: float
    rejected: float
    failed: float


def run_policy(policy, load, seeds):
    """Plays a load with a policy.

    Args:
      policy: The Policy.
      load: The fleet_model.Load.
      seeds: Seeds of the runs.
    Returns:
      A list with the fleet_model.Result of each seed.
    """
    with contextlib.ExitStack() as restored:
        for module, name, value in policy.changes:
            restored.callback(setattr, module, name, getattr(module, name))
            setattr(module, name, value)
        return [fleet_model.Model(load, seed).run() for seed in seeds]


def summarise(load_name, policy, results):
    """Returns the Row of a load and policy from the Result of each seed."""

    def find_mean(name):
        return statistics.fmean(getattr(result, name) / result.total for result in results)

    in_time = [result.in_time_share for result in results]
    deviation = statistics.stdev(in_time) if len(in_time) > 1 else 0.0
    return Row(
        load_name,
        policy.name,
        statistics.fmean(in_time),
        deviation,
        find_mean("late"),
        find_mean("rejected"),
        find_mean("failed"),
    )


def format_table(rows):
    """Returns the rows as a Markdown table."""
    lines = ["| load | policy | in time | late | rejected | failed |", "|---|---|---|---|---|---|"]
    lines += [
        f"| {row.load} | {row.policy} | {row.in_time:.3f} ± {row.deviation:.3f}"
        f" | {row.late:.3f} | {row.rejected:.3f} | {row.failed:.3f} |"
        for row in rows
    ]
    return "\n".join(lines)


def draw_chart(rows, path):
    """Draws the share in time by load and policy as an SVG or PNG file."""
    loads = list(dict.fromkeys(row.load for row in rows))
    policies = list(dict.fromkeys(row.policy for row in rows))
    matplotlib.rcParams["svg.hashsalt"] = CHART_HASH_SALT
    figure, axes = pyplot.subplots(figsize=CHART_SIZE_INCHES, layout="constrained")
    width = 0.8 / len(policies)
    for position, policy in enumerate(policies):
        found = [row for row in rows if row.policy == policy]
        places = [loads.index(row.load) + (position + 0.5) * width - 0.4 for row in found]
        axes.bar(
            places,
            [row.in_time for row in found],
            width,
            yerr=[row.deviation for row in found],
            label=policy,
        )
    axes.set_xticks(range(len(loads)), loads)
    axes.set_ylabel("share of requests in time")
    axes.set_ylim(0.0, 1.0)
    figure.legend(loc="outside lower center", ncols=3, fontsize="small")
    figure.savefig(path, metadata={"Date": None} if str(path).endswith(".svg") else None)
    pyplot.close(figure)


def main():
    """Prints the table and draws the chart."""
    parser = argparse.ArgumentParser(prog="python -m bench.experiment")
    parser.add_argument("--load", choices=sorted(fleet_model.LOADS), action="append")
    names = [policy.name for policy in POLICIES]
    parser.add_argument("--policy", choices=names, action="append")
    parser.add_argument("--seed", type=int, default=1, help="first seed")
    parser.add_argument("--runs", type=int, default=5, help="number of seeds")
    parser.add_argument("--chart", help="SVG or PNG file to write")
    arguments = parser.parse_args()
    seeds = range(arguments.seed, arguments.seed + arguments.runs)
    rows = [
        summarise(name, policy, run_policy(policy, fleet_model.LOADS[name], seeds))
        for name in arguments.load or fleet_model.LOADS
        for policy in POLICIES
        if policy.name in (arguments.policy or names)
    ]
    print(format_table(rows))
    if arguments.chart:
        draw_chart(rows, arguments.chart)


if __name__ == "__main__":
    main()
