"""Load patterns of the model of upstreams."""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class Load:
    """A load pattern; times in seconds, ``rate`` in requests per second over all regions.

    Attributes:
      popular_share: Share of a region's requests that are for one and the same object.
      popular_phases: Tuples of the start, the end and the region's number for which
        ``popular_share`` holds; if empty it always holds in each region.
    """

    rate: float
    length_s: float = 20.0
    rate_amplitude: float = 0.4
    period_s: float = 12.0
    upstreams: tuple[int, ...] = (6, 2, 6)
    hosts: tuple[int, ...] = (3, 2, 2)
    slots: int = 5
    queue: int = 15
    objects: int = 55
    cached_objects: int = 30
    work_s: float = 0.31
    known_work_factor: float = 0.3
    slow_share: float = 0.15
    slow_factor: float = 2.5
    slow_period_s: float = 0.6
    target_s: float = 0.4
    timeout_s: float = 1.0
    round_trip_s: float = 0.11
    popular_share: float = 0.0
    popular_phases: tuple[tuple[float, float, int], ...] = ()

    def find_popular_object(self, region, now):
        """Returns the key of the object that is popular with a region's clients, or None."""
        if not self.popular_share:
            return None
        if not self.popular_phases:
            return b"%d-0" % region
        for start, end, popular_region in self.popular_phases:
            if start <= now < end and popular_region == region:
                return b"popular"
        return None


# Load patterns of the deployments: low load, peak load, a sudden burst, a larger deployment whose
# region with few upstreams has more objects than it can cache on two upstreams each, one with
# spare slots whose most popular object takes more than the slots of one upstream, and one of 300
# hosts with an object that becomes popular in one region, moves to another one and goes.
LOADS = {
    "calm": Load(rate=125.0),
    "scale": Load(rate=278.0),
    "burst": Load(rate=278.0, rate_amplitude=0.9, period_s=8.0),
    "grown": Load(
        rate=512.0,
        length_s=10.0,
        period_s=36.0,
        upstreams=(72, 14, 60),
        hosts=(8, 8, 8),
        slots=4,
        queue=12,
        objects=237,
        cached_objects=20,
        work_s=0.9,
        known_work_factor=0.25,
        target_s=0.6,
        timeout_s=1.5,
    ),
    "moving": Load(
        rate=1050.0,
        length_s=40.0,
        upstreams=(74, 74, 74),
        hosts=(100, 100, 100),
        slots=4,
        queue=12,
        objects=400,
        cached_objects=15,
        work_s=0.9,
        target_s=0.6,
        timeout_s=1.5,
        popular_share=0.25,
        popular_phases=((10.0, 20.0, 0), (20.0, 30.0, 1)),
    ),
    "popular": Load(
        rate=180.0,
        upstreams=(20, 20, 20),
        hosts=(4, 4, 4),
        objects=150,
        cached_objects=15,
        work_s=2.0,
        known_work_factor=0.25,
        target_s=1.5,
        timeout_s=4.0,
        popular_share=0.25,
    ),
}
