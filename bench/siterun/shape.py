"""Shapes of sites: their zones, services and kinds of requests, and the delays between them."""

import dataclasses
import enum
import math


class Habit(enum.Enum):
    """How clients use their connections.

    PIPELINE sends requests before earlier ones are answered; POOL has one request on a connection
    and keeps idle ones.
    """

    PIPELINE = "pipeline"
    POOL = "pool"


@dataclasses.dataclass(frozen=True, slots=True)
class Amount:
    """A random amount around a mean; a share ``tail`` of them is ``tail_factor`` times as large."""

    mean: float
    spread: float
    most: float
    tail: float = 0.0
    tail_factor: float = 1.0

    def draw(self, rng):
        """Draws an amount."""
        amount = self.mean * rng.lognormvariate(-(self.spread**2) / 2, self.spread)
        if rng.random() < self.tail:
            amount *= self.tail_factor
        return min(amount, self.most)


@dataclasses.dataclass(frozen=True, slots=True)
class ZoneShape:
    """An availability zone; ``upstreams`` counts its upstreams by service."""

    name: str
    region: str
    hosts: int
    clients: int
    upstreams: dict[str, int]


@dataclasses.dataclass(frozen=True, slots=True)
class ServiceShape:
    """A service whose upstreams run ``slots`` requests at a time and queue a few more."""

    name: str
    slots: int
    queue: int


@dataclasses.dataclass(frozen=True, slots=True)
class RequestShape:
    """A kind of requests; times are in seconds.

    Attributes:
      objects: Number of objects that these requests concern.
      share: Its share among the requests of a client.
    """

    name: str
    service: str
    method: str
    is_idempotent: bool
    habit: Habit
    priority: int
    share: float
    deadline_s: float
    aim_s: float
    objects: int
    work_s: Amount
    request_bytes: Amount
    answer_bytes: Amount

    @property
    def prefix(self):
        """Path prefix of the requests."""
        return f"/{self.name}/"


@dataclasses.dataclass(frozen=True, slots=True)
class Wave:
    """A wave of the rate of requests, in which each zone has its own phase.

    Attributes:
      amplitude: Largest deviation from the mean rate, as a share of it.
      period_s: Length of a wave in seconds.
    """

    amplitude: float
    period_s: float

    def find_factor(self, phase, at_s):
        """Returns the rate as a share of the mean rate.

        Args:
          phase: Phase of the zone as a share of a wave.
          at_s: Time since the first requests in seconds.
        """
        return 1.0 + self.amplitude * math.sin(2.0 * math.pi * (at_s / self.period_s + phase))


@dataclasses.dataclass(frozen=True, slots=True)
class SiteShape:
    """A site; ``settings`` are the lines of the host's settings that differ from the usual ones.

    Attributes:
      rate_per_s: Requests of all clients in a second.
      wave: The Wave, or None if the clients send at a steady rate.
      idle_timeout_s: Time for which hosts keep idle connections of clients, in seconds.
      client_delay_s: Delay from a client to a host, and back.
      region_delay_s: Delay from a host to the store of another region, and back.
      contact_s: Time for which a host is not in touch after a disturbance, in seconds.
    """

    zones: tuple[ZoneShape, ...]
    services: tuple[ServiceShape, ...]
    requests: tuple[RequestShape, ...]
    rate_per_s: float
    client_delay_s: float
    region_delay_s: float
    grace_s: float
    apply_s: float
    contact_s: float
    settings: tuple[str, ...]
    wave: Wave | None = None
    idle_timeout_s: float = 2.0

    @property
    def regions(self):
        """Dict of region by zone."""
        return {zone.name: zone.region for zone in self.zones}

    def find_request(self, name):
        """Returns the RequestShape of a name."""
        return next(item for item in self.requests if item.name == name)


_NO_BODY = Amount(0.0, 0.0, 0.0)
_ORDER_BODY = Amount(1200.0, 0.6, 7200.0)
_SHORT_ANSWER = Amount(1500.0, 0.6, 9000.0)
_SMALL_ZONE = {"catalogue": 1, "bookings": 1, "orders": 1}
_MIDDLE_ZONE = {"catalogue": 3, "bookings": 2, "orders": 2}
_LARGE_ZONE = {"catalogue": 3, "bookings": 3, "orders": 3}

# Seven hosts and 38 upstreams in three regions, each of two zones.
THREE_REGIONS = SiteShape(
    zones=(
        ZoneShape("east-a", "east", 2, 47, _SMALL_ZONE),
        ZoneShape("west-a", "west", 1, 51, _MIDDLE_ZONE),
        ZoneShape("south-a", "south", 1, 38, _LARGE_ZONE),
        ZoneShape("east-b", "east", 1, 49, _SMALL_ZONE),
        ZoneShape("west-b", "west", 1, 50, _MIDDLE_ZONE),
        ZoneShape("south-b", "south", 1, 36, _LARGE_ZONE),
    ),
    services=(
        ServiceShape("catalogue", 6, 18),
        ServiceShape("bookings", 3, 9),
        ServiceShape("orders", 3, 9),
    ),
    requests=(
        RequestShape(
            name="lookup",
            service="catalogue",
            method="GET",
            is_idempotent=True,
            habit=Habit.PIPELINE,
            priority=2,
            share=5.3,
            deadline_s=2.0,
            aim_s=0.25,
            objects=71,
            work_s=Amount(0.31, 0.15, 3.2, 0.03, 7.0),
            request_bytes=_NO_BODY,
            answer_bytes=Amount(5000.0, 0.6, 30_000.0),
        ),
        RequestShape(
            name="reserve",
            service="bookings",
            method="POST",
            is_idempotent=False,
            habit=Habit.POOL,
            priority=1,
            share=1.6,
            deadline_s=2.5,
            aim_s=0.4,
            objects=24,
            work_s=Amount(0.41, 0.15, 4.3, 0.03, 7.0),
            request_bytes=_ORDER_BODY,
            answer_bytes=_SHORT_ANSWER,
        ),
        RequestShape(
            name="payment",
            service="orders",
            method="PUT",
            is_idempotent=False,
            habit=Habit.POOL,
            priority=0,
            share=1.8,
            deadline_s=1.2,
            aim_s=0.2,
            objects=24,
            work_s=Amount(0.21, 0.15, 2.3, 0.03, 7.0),
            request_bytes=_ORDER_BODY,
            answer_bytes=_SHORT_ANSWER,
        ),
        RequestShape(
            name="check",
            service="orders",
            method="GET",
            is_idempotent=True,
            habit=Habit.PIPELINE,
            priority=1,
            share=1.4,
            deadline_s=0.8,
            aim_s=0.15,
            objects=24,
            work_s=Amount(0.12, 0.15, 1.3, 0.03, 7.0),
            request_bytes=_NO_BODY,
            answer_bytes=_SHORT_ANSWER,
        ),
    ),
    rate_per_s=362.0,
    client_delay_s=0.008,
    region_delay_s=0.02,
    grace_s=6.0,
    apply_s=2.5,
    contact_s=3.0,
    settings=(
        "terms.bounds.contact=3000ms",
        "terms.bounds.grace=6s",
        "terms.bounds.retryBudgetExtra=56",
    ),
)


# Requests of all clients in a second on the site's sheet, and their waves.
SHEET_RATE_PER_S = 548.0
SHEET_WAVE = Wave(0.55, 36.0)


def raise_waves(shape):
    """Returns a shape whose clients send the requests of the site's sheet, in waves."""
    return dataclasses.replace(shape, rate_per_s=SHEET_RATE_PER_S, wave=SHEET_WAVE)


def thin_out(shape, share):
    """Returns a shape with a share of the clients and requests, for machines with little room."""
    zones = tuple(
        dataclasses.replace(zone, clients=math.ceil(share * zone.clients)) for zone in shape.zones
    )
    return dataclasses.replace(shape, zones=zones, rate_per_s=share * shape.rate_per_s)
