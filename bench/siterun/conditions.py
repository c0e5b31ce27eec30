"""What a run plays beside planned work, each chosen by its name on the command line."""

import dataclasses
import enum

from bench.siterun import grownshape, shape

# Time for which hosts keep the idle connections of a crowd.
CROWD_IDLE_S = 30.0


class Condition(enum.StrEnum):
    """A habit of clients, a state of the site or a disturbance that a run plays.

    HALF_CLOSE has clients end their sending side after some requests and read on. WAVES has them
    send the requests of the site's sheet, in waves of each zone's own phase.

    KILLS kills and pauses hosts in series beside planned work: what the others hold on kept
    connections must not be cut for that. STORE has the store slow, silent or down for seconds,
    which excuses nothing. EARLY sends signals to processes that start or have only just become
    ready, again and again: accepted connections must not end with them. CROWD opens thousands of
    idle connections to hosts with few descriptors, and bursts beyond their backlog as they stop or
    reload, so that connections wait to be accepted as listening ends.

    GROWN plays the grown fleet of the site, whose requests outlast the time that a stop has.
    """

    HALF_CLOSE = "half-close"
    WAVES = "waves"
    KILLS = "kills"
    STORE = "store"
    EARLY = "early"
    CROWD = "crowd"
    GROWN = "grown"


def parse_conditions(text):
    """Returns the frozenset of the Conditions of a list of names that commas separate.

    Raises:
      ValueError: If a name is unknown.
    """
    return frozenset(Condition(name) for name in text.split(",") if name)


def build_site(played, share):
    """Returns the shape.SiteShape of a run.

    Args:
      played: The Conditions that are played.
      share: Share of the site's clients and requests; see shape.thin_out.
    """
    if Condition.GROWN in played:
        wave = shape.SHEET_WAVE if Condition.WAVES in played else None
        site = dataclasses.replace(grownshape.GROWN, wave=wave)
    elif Condition.WAVES in played:
        site = shape.raise_waves(shape.THREE_REGIONS)
    else:
        site = shape.THREE_REGIONS
    if Condition.CROWD in played:
        site = dataclasses.replace(site, idle_timeout_s=CROWD_IDLE_S)
    return shape.thin_out(site, share)
