"""Decides where each request runs: upstream, region, or rejection. No input or output."""

import random

from skylarksill.host import placement, spill, worktimes


class Steering:
    """Placement of a host's requests over regions and upstreams.

    Args:
      fleet: The Fleet.
      max_shift: Greatest change of a region's share of the work between windows of 2 s.
      rng: Source of randomness.

    Attributes:
      times: The WorkTimes, which learn from answers.
    """

    def __init__(self, fleet, max_shift, rng=random):
        self.times = worktimes.WorkTimes()
        self._fleet = fleet
        self._max_shift = max_shift
        self._rng = rng
        self._spills = {}
        self._averages = {}
        self._guard = spill.ShiftGuard(max_shift)

    def set_max_shift(self, max_shift):
        """Changes the bound on moves between regions."""
        self._max_shift = self._guard.max_shift = max_shift
        for control in self._spills.values():
            control.max_shift = max_shift

    def choose(self, query, now):
        """Chooses where a request runs.

        Args:
          query: The placement.Query.
          now: Monotonic seconds.
        Returns:
          placement.Placed or placement.Rejected.
        """
        home, others = self._split_regions(query)
        choice = self._choose_in(query, home, now)
        if not others or query.excluded:
            return choice
        if isinstance(choice, placement.Rejected) and choice.reason == "no_upstream":
            return self._choose_in(query, others, now)
        return self._consider_spill(query, choice, others, now)

    def list_spill_shares(self):
        """Returns the share of objects that are served in other regions by service."""
        return {service_id: control.share for service_id, control in self._spills.items()}

    def note_spill_averages(self, averages):
        """Takes over the mean shares of the region's other hosts by service."""
        self._averages = averages
        for service_id, control in self._spills.items():
            control.average = averages.get(service_id)

    def note_answer(self, query, choice, load, seconds, now):
        """Learns from an answer that is no failure.

        Args:
          query: The placement.Query that was answered.
          choice: The placement.Placed that it got.
          load: The LoadReport of the answer, or None.
          seconds: Time from the send to the answer.
          now: Monotonic seconds.
        """
        state = choice.upstream
        state.note_result(False, now)
        if load is not None:
            state.note_report(load, now)
        if query.affinity_key is not None:
            state.note_object(query.affinity_key)
        if load is not None and load.waiting > 0:
            # The time includes a wait for a slot of unknown length.
            return
        round_trip_s = self._fleet.estimate_round_trip_s(state.record.region)
        run_s = max(0.001, seconds - round_trip_s)
        pace = max(0.1, load.pace) if load is not None else 1.0
        self.times.note(query.route, query.service_id, choice.knows_object, run_s / pace)
        state.note_slowness(run_s / max(0.001, choice.wait_s + choice.work_s), now)

    def note_failure(self, choice, load, now):
        """Learns from an answer that is a failure, or from a broken one."""
        choice.upstream.note_result(True, now)
        if load is not None:
            choice.upstream.note_report(load, now)

    def note_shed(self, choice, now):
        """Learns from work that an upstream rejected for lack of room."""
        choice.upstream.note_full(now)

    def note_timeout(self, choice, seconds, now):
        """Learns from work that was not answered within ``seconds``."""
        choice.upstream.note_slowness(seconds / max(0.001, choice.work_s), now)

    def _consider_spill(self, query, home, others, now):
        control = self._spills.get(query.service_id)
        if control is None:
            share = self._estimate_first_share(query.service_id)
            control = spill.SpillControl(self._max_shift, share)
            self._spills[query.service_id] = control
        if control.is_step_due(now):
            region = self._fleet.region
            control.advance(self._fleet.estimate_utilisation(query.service_id, region, now), now)
        is_away = query.affinity_key is not None and control.is_away(query.affinity_key)
        is_late = not _is_in_time(home, query)
        away = None
        if is_away or is_late:
            away = self._choose_in(query, others, now)
        control.note(is_late and away is not None and self._does_gain(query, home, away))
        leaves = is_away and isinstance(away, placement.Placed) and self._guard.permits(now)
        choice = away if leaves else home
        if isinstance(choice, placement.Placed):
            self._guard.note(leaves, now)
        return choice

    def _estimate_first_share(self, service_id):
        """Returns the share of the region's other hosts, or what its slots fall short by."""
        if service_id in self._averages:
            return self._averages[service_id]
        regions = self._fleet.list_regions(service_id)
        slots = [self._fleet.count_slots(service_id, region) for region in regions]
        fair = sum(slots) / len(slots)
        return max(0.0, 1.0 - slots[0] / fair)

    def _does_gain(self, query, home, away):
        round_trip_s = 0.0
        if isinstance(away, placement.Placed):
            round_trip_s = self._fleet.estimate_round_trip_s(away.upstream.record.region)
        return placement.does_gain(home, away, round_trip_s, query)

    def _choose_in(self, query, regions, now):
        return placement.choose_upstream(self._fleet, self.times, query, regions, now, self._rng)

    def _split_regions(self, query):
        """Returns the regions to search first, and the others that the route permits."""
        regions = self._fleet.list_regions(query.service_id)
        if query.route.regions:
            regions = tuple(region for region in regions if region in query.route.regions)
        if self._fleet.region in regions:
            return (self._fleet.region,), regions[1:]
        return regions, ()


def _is_in_time(choice, query):
    if isinstance(choice, placement.Rejected):
        return False
    return choice.wait_s + choice.work_s <= query.route.target_latency_s
