"""Loss of one of three regions at 60% load, and its return with cold caches."""

import collections

from bench import _figures, _runs, steered

LOAD = 0.60
LOST_AT_S = 4.0
BACK_AT_S = 14.0
JOB_COUNT = 36_000
COLD_S = 5.0
COLD_COST = 3.0
MIN_ANSWERED = 0.99
MAX_TURNS = 2
# Changes of a region's share below this are noise of the arrivals.
SHARE_BAND = 0.05
SMOOTHED_S = 3


class _ColdCaches:
    """Triple cost at upstreams that have returned and of work that is new to a region."""

    def __init__(self, fleet):
        self._fleet = fleet
        self._cold_until = {}
        self.is_back = False
        self.region = fleet.configuration.regions[1].region_id

    def compute(self, job, upstream, now):
        """Returns the cost of a job at an upstream."""
        home = self._fleet.place.regions_by_zone[job.zone]
        region = upstream.site.region
        is_cold = False
        if home != region:
            is_cold = now < self._cold_until.setdefault((home, region), now + COLD_S)
        if self.is_back and region == self.region:
            key = upstream.site.upstream
            is_cold |= now < self._cold_until.setdefault(key, now + COLD_S)
        return COLD_COST if is_cold else 1.0


def measure(deployment):
    """Returns the figures of the case for one deployment."""
    parsed, place = _runs.load_place(deployment)
    jobs = _runs.make_jobs(parsed, place, LOAD, JOB_COUNT)
    start = jobs[0].arrival
    plan = steered.Plan(parsed, may_lose_hosts=True)

    def disturb(fleet):
        caches = _ColdCaches(fleet)
        fleet.cost = caches.compute
        fleet.simulator.schedule(start + LOST_AT_S, fleet.lose_region, caches.region)
        fleet.simulator.schedule(start + BACK_AT_S, _return_region, fleet, caches)

    ours, fleet, upstreams = _runs.run_ours(place, jobs, plan, prepare=disturb)
    lost = parsed.regions[1].region_id
    shares = _list_shares(place, ours)
    figures = [
        _judge_answers(deployment, place, ours, lost, start),
        *_judge_limits(deployment, parsed, fleet, upstreams),
    ]
    for region, (_, values) in shares.items():
        turns = _count_turns(values)
        figures.append(
            _figures.bound_most(f"headroom:turns:{region}", deployment, turns, MAX_TURNS)
        )
    _figures.draw_lines(
        f"headroom-{deployment}",
        f"{deployment}: {lost} is lost and returns",
        "time (s)",
        "share of the answers",
        shares,
    )
    return figures


def _return_region(fleet, caches):
    caches.is_back = True
    fleet.return_region(caches.region)


def _judge_answers(deployment, place, jobs, lost, start):
    """Compares the work that was answered with what the two other regions can serve."""
    begin, end = start + LOST_AT_S, start + BACK_AT_S
    slots = sum(site.slots for site in place.sites if site.region != lost)
    arrived = [job for job in jobs if begin <= job.arrival < end]
    offered = sum(job.work_s for job in arrived)
    answered = sum(job.work_s for job in arrived if job.finished is not None)
    servable = min(offered, slots * (end - begin))
    return _figures.bound_least(
        "headroom:answered_of_servable", deployment, answered / servable, MIN_ANSWERED, 1.0
    )


def _judge_limits(deployment, parsed, fleet, upstreams):
    over_slots = max(upstream.peak - upstream.site.slots for upstream in upstreams)
    over_region = max(
        fleet.peaks[region.region_id] - region.max_in_flight for region in parsed.regions
    )
    over_cap = max(
        _find_peak_rate(fleet.foreign_times[region.region_id]) - region.shift_cap_per_s
        for region in parsed.regions
    )
    return [
        _figures.bound_most("headroom:over_slots", deployment, over_slots, 0),
        _figures.bound_most("headroom:over_region_limit", deployment, over_region, 0),
        _figures.bound_most("headroom:over_shift_cap_per_s", deployment, over_cap, 0),
    ]


def _find_peak_rate(times):
    """Returns the greatest number of starts in any window of one second."""
    window = collections.deque()
    peak = 0
    for time in times:
        window.append(time)
        while window[0] <= time - 1.0:
            window.popleft()
        peak = max(peak, len(window))
    return peak


def _list_shares(place, jobs):
    regions = {site.upstream: site.region for site in place.sites}
    counts = collections.defaultdict(collections.Counter)
    for job in jobs:
        if job.finished is not None:
            counts[int(job.finished)][regions[job.upstream]] += 1
    seconds = sorted(counts)[1:-1]
    shares = {}
    for region in sorted(set(regions.values())):
        values = []
        for index in range(len(seconds)):
            recent = seconds[max(0, index - SMOOTHED_S + 1) : index + 1]
            total = sum(counts[second].total() for second in recent)
            values.append(sum(counts[second][region] for second in recent) / total)
        shares[region] = (seconds, values)
    return shares


def _count_turns(values):
    """Counts changes of direction larger than SHARE_BAND."""
    turns = 0
    direction = 0
    extreme = values[0]
    for value in values:
        if direction >= 0 and value > extreme or direction <= 0 and value < extreme:
            if direction == 0 and abs(value - extreme) < SHARE_BAND:
                continue
            direction = direction or (1 if value > extreme else -1)
            extreme = value
        elif direction and abs(value - extreme) >= SHARE_BAND:
            turns += 1
            direction = -direction
            extreme = value
    return turns
