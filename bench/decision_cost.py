"""Time of a placement decision, with objects of which some are popular.

Run with ``python -m bench.decision_cost``. Times are processor time. Each decision is timed
alone, so that the slowest ones show too: the first one for an object ranks all upstreams.
"""

import argparse
import collections
import random
import time

from bench import fleet_model
from skylarksill.host import placement, quotas, records

# Mean share of the slots that are in use.
BUSY_SHARE = 0.6
POPULAR_SHARE = 0.25
RATE = 400.0
# Hosts that share the limits of the upstreams.
HOSTS = 143


def measure_decisions(upstream_count, object_count, decisions, seed=1, make_steering=None):
    """Measures decisions of a host whose upstreams run other work as well.

    Args:
      upstream_count: Number of upstreams, in three regions.
      object_count: Number of objects.
      decisions: Number of decisions.
      seed: Seed of the random generator.
      make_steering: As of fleet_model.Model.
    Returns:
      A tuple of the times of all decisions in seconds, and the most copies of an object.
    """
    rng = random.Random(seed)
    upstreams = tuple(len(range(region, upstream_count, 3)) for region in range(3))
    load = fleet_model.Load(RATE, upstreams=upstreams, hosts=(1, 1, 1), slots=4)
    model = fleet_model.Model(load, seed, make_steering)
    host_fleet, host_steering = model.hosts[0][0]
    host_ids = frozenset(f"h{index}" for index in range(HOSTS))
    host_fleet.view = quotas.HostView("h0", host_ids, host_ids, True)
    pool = list(host_fleet)
    running = collections.deque()
    times_s = []
    most_copies = 0
    for number in range(decisions):
        now = 1.0 + number / RATE
        key = b"%d" % (0 if rng.random() < POPULAR_SHARE else rng.randrange(object_count))
        query = placement.Query(model.route, fleet_model.SERVICE, 0, key, 1.0, frozenset())
        begun = time.thread_time()
        choice = host_steering.choose(query, now)
        times_s.append(time.thread_time() - begun)
        if isinstance(choice, placement.Placement):
            choice.upstream.record_send(now)
            run_s = load.work_s * (load.known_work_factor if choice.knows_object else 1.0)
            running.append((now + run_s, query, choice, run_s))
        while running and running[0][0] <= now:
            _, query, choice, run_s = running.popleft()
            busy = min(load.slots, int(load.slots * 2 * BUSY_SHARE * rng.random()) + 1)
            report = records.LoadReport(busy, 0, load.slots, 1.0)
            host_steering.record_success(query, choice, report, run_s, now)
            choice.upstream.record_end(True, now)
        rng.choice(pool).apply_report(
            records.LoadReport(rng.randrange(load.slots + 1), 0, load.slots, 1.0), now
        )
        if host_steering.object_copies is not None and number % 100 == 0:
            most_copies = max(most_copies, host_steering.object_copies.summarize().most_copies)
    return times_s, most_copies


def main():
    """Prints the times with and without copies."""
    parser = argparse.ArgumentParser(prog="python -m bench.decision_cost")
    parser.add_argument("--upstreams", type=int, default=222)
    parser.add_argument("--objects", type=int, default=400)
    parser.add_argument("--decisions", type=int, default=20_000)
    arguments = parser.parse_args()
    for name, maker in (("on", None), ("off", fleet_model.make_plain_steering)):
        times_s, most_copies = measure_decisions(
            arguments.upstreams, arguments.objects, arguments.decisions, make_steering=maker
        )
        # The first decisions rank the upstreams for each object.
        settled = sorted(times_s[len(times_s) // 2 :])
        print(
            f"copies={name} most_copies={most_copies}"
            f" mean={1e6 * sum(times_s) / len(times_s):.1f} us, of the second half"
            f" mean={1e6 * sum(settled) / len(settled):.1f} us"
            f" p50={1e6 * settled[len(settled) // 2]:.1f} us"
            f" p90={1e6 * settled[int(0.9 * len(settled))]:.1f} us"
            f" p99={1e6 * settled[int(0.99 * len(settled))]:.1f} us"
        )


if __name__ == "__main__":
    main()
