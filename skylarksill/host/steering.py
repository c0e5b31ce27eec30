"""Decides where each request runs: which region and upstream, or rejection. Performs no I/O."""

import random

from skylarksill.host import objectcopies, placement, spill, worktimes

# Services whose remembered objects are shown as metrics, so that their number is bounded.
MAX_LISTED_SERVICES = 20


class Steering:
    """Placement of a host's requests over regions and upstreams.

    Args:
      fleet: The Fleet.
      max_shift: Greatest change of a region's share of the requests between windows of 2 s.
      rng: Source of randomness.

    Attributes:
      service_times: The ServiceTimes, learned from answers.
      object_copies: The objectcopies.ObjectCopies; None if each object has one copy.
    """

    def __init__(self, fleet, max_shift, rng=random):
        self.service_times = worktimes.ServiceTimes()
        self.object_copies = objectcopies.ObjectCopies()
        self._fleet = fleet
        self._max_shift = max_shift
        self._rng = rng
        self._spill_controllers = {}
        self._peer_averages = {}
        self._shift_guard = spill.ShiftGuard(max_shift)

    def set_max_shift(self, max_shift):
        """Changes the bound on shifts between regions."""
        self._max_shift = self._shift_guard.max_shift = max_shift
        for controller in self._spill_controllers.values():
            controller.max_shift = max_shift

    def set_carrier_count(self, count):
        """Sets the number of hosts among which the requests of the own region are spread."""
        if self.object_copies is not None:
            self.object_copies.carrier_count = max(1, count)

    def list_copy_gauges(self):
        """Returns gauges of objects' copies, as tuples of name, label and value.

        The number of remembered objects is listed for the first MAX_LISTED_SERVICES services.
        """
        if self.object_copies is None:
            return []
        summary = self.object_copies.summarize()
        counts = sorted(self.object_copies.remembered.list_counts().items())
        return [
            ("copied_objects", "", summary.copied_objects),
            ("most_copies", "", summary.most_copies),
            *(("remembered_objects", *item) for item in counts[:MAX_LISTED_SERVICES]),
        ]

    def choose(self, query, now):
        """Chooses where a request runs.

        Args:
          query: The placement.Query.
          now: Monotonic seconds.
        Returns:
          placement.Placement or placement.Rejection.
        """
        if self.object_copies is not None and _has_copies(query) and not query.excluded:
            self.object_copies.count_request(query.service_id, query.affinity_key, now)
        first, others = self._split_regions(query)
        if not first and query.regions and self._fleet.list_regions(query.service_id):
            return placement.Rejection(
                "no_upstream_in_regions", placement.UNAVAILABLE_RETRY_AFTER_S
            )
        choice = self._choose_in_regions(query, first, now)
        if not others or query.excluded:
            return choice
        if isinstance(choice, placement.Rejection) and choice.reason == "no_upstream":
            return self._choose_in_regions(query, others, now)
        return self._apply_spill(query, choice, others, now)

    def list_spill_shares(self):
        """Returns the share of objects that are served in other regions, by service."""
        return {
            service_id: controller.share
            for service_id, controller in self._spill_controllers.items()
        }

    def set_peer_averages(self, averages):
        """Sets the mean spill share of the region's other hosts, by service."""
        self._peer_averages = averages
        for service_id, controller in self._spill_controllers.items():
            controller.peer_average = averages.get(service_id)

    def record_success(self, query, choice, load, seconds, now):
        """Updates the estimates after a successful answer.

        Args:
          query: The placement.Query that was answered.
          choice: The placement.Placement that was chosen for it.
          load: The LoadReport of the answer, or None.
          seconds: Time from the send to the answer.
          now: Monotonic seconds.
        """
        state = choice.upstream
        state.record_result(False, now)
        if load is not None:
            state.apply_report(load, now)
        if query.affinity_key is not None:
            state.record_object(query.affinity_key)
        if load is not None and load.waiting > 0:
            # ``seconds`` includes a wait of unknown length for a slot, so it is not a sample.
            return
        round_trip_s = self._fleet.estimate_round_trip_s(state.record.region)
        run_s = max(0.001, seconds - round_trip_s)
        pace = max(0.1, load.pace) if load is not None else 1.0
        self._learn_remembered(query, choice, run_s / pace)
        self.service_times.add_sample(
            query.route, query.service_id, choice.knows_object, run_s / pace
        )
        state.record_slowness(run_s / max(0.001, choice.wait_s + choice.service_time_s), now)

    def _learn_remembered(self, query, choice, run_s):
        """Learns from a run whether the upstream still remembered its object."""
        if self.object_copies is None or choice.object_rank is None or not _has_copies(query):
            return
        run_times = self.service_times.find_run_times(query.route, query.service_id)
        if run_times is not None:
            self.object_copies.remembered.add_run(
                query.service_id, choice.object_rank, run_s, *run_times
            )

    def record_failure(self, choice, load, now):
        """Updates the estimates after a failure answer or a broken one."""
        choice.upstream.record_result(True, now)
        if load is not None:
            choice.upstream.apply_report(load, now)

    def record_shed(self, choice, load, now):
        """Updates the estimates after an upstream shed a request.

        Most upstreams shed because their slots and queue are full. One that reports a free slot
        sheds at random: it can run the next request, so the shed one counts as a failure of it.

        Args:
          choice: The placement.Placement that was chosen for the request.
          load: The LoadReport of the answer, or None.
          now: Monotonic seconds.
        """
        state = choice.upstream
        if load is None or load.running >= load.slots:
            state.mark_full(load, now)
            return
        state.apply_report(load, now)
        state.record_result(True, now)

    def record_timeout(self, choice, seconds, now):
        """Updates the estimates after a request got no answer within ``seconds``."""
        choice.upstream.record_slowness(seconds / max(0.001, choice.service_time_s), now)

    def _apply_spill(self, query, local, others, now):
        """Returns the local choice, or one in another region if the request is to spill there."""
        controller = self._spill_controllers.get(query.service_id)
        if controller is None:
            share = self._estimate_first_share(query.service_id)
            controller = spill.SpillController(self._max_shift, share)
            self._spill_controllers[query.service_id] = controller
        if controller.is_step_due(now):
            region = self._fleet.region
            controller.adjust_share(
                self._fleet.estimate_utilisation(query.service_id, region, now), now
            )
        is_spilled = query.affinity_key is not None and controller.is_spilled(query.affinity_key)
        is_late = not _meets_target(local, query)
        remote = None
        if is_spilled or is_late:
            remote = self._choose_in_regions(query, others, now)
        controller.count_request(
            is_late and remote is not None and self._would_gain(query, local, remote)
        )
        leaves_region = (
            is_spilled
            and isinstance(remote, placement.Placement)
            and self._shift_guard.permits(now)
        )
        choice = remote if leaves_region else local
        if isinstance(choice, placement.Placement):
            self._shift_guard.count_request(leaves_region, now)
        return choice

    def _estimate_first_share(self, service_id):
        """Returns the mean share of the region's other hosts.

        Without one, returns the share by which the slots of the region are below the mean over all
        regions.
        """
        if service_id in self._peer_averages:
            return self._peer_averages[service_id]
        regions = self._fleet.list_regions(service_id)
        slots = [self._fleet.count_slots(service_id, region) for region in regions]
        mean_slots = sum(slots) / len(slots)
        return max(0.0, 1.0 - slots[0] / mean_slots)

    def _would_gain(self, query, local, remote):
        round_trip_s = 0.0
        if isinstance(remote, placement.Placement):
            round_trip_s = self._fleet.estimate_round_trip_s(remote.upstream.record.region)
        return placement.would_gain(local, remote, round_trip_s, query)

    def _choose_in_regions(self, query, regions, now):
        return placement.choose_upstream(
            self._fleet, self.service_times, query, regions, now, self._rng, self.object_copies
        )

    def _split_regions(self, query):
        """Returns the regions to search first, and the others that the query permits."""
        regions = self._fleet.list_regions(query.service_id)
        if query.regions:
            regions = tuple(region for region in regions if region in query.regions)
        if self._fleet.region in regions:
            return (self._fleet.region,), regions[1:]
        return regions, ()


def _has_copies(query):
    """Returns True if a request has an object whose copies count."""
    return query.affinity_key is not None and query.route.is_sticky


def _meets_target(choice, query):
    if isinstance(choice, placement.Rejection):
        return False
    return choice.wait_s + choice.service_time_s <= query.route.target_latency_s
