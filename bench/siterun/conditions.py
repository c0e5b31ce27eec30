"""What a run plays beside planned work, each chosen by its name on the command line."""

import dataclasses
import enum

from bench.siterun import grownshape, shape

# Time for which hosts keep the idle connections of a crowd.
CROWD_IDLE_S = 30.0


class Condition(enum.StrEnum):
    """A habit of clients, a state of the site or a disturbance that a run plays.

    HALF_CLOSE has clients end their sending side after some requests and read on. HALF_CLOSE_ALL
    has them do so often, behind the first request of a connection and behind several pipelined ones
    as well, at times in the segment of the request's last byte. GIVE_UP has them often end a
    connection because of one request, by a close, a reset or with bytes unread, whatever others
    wait on it. BEHIND_PROXY has them reach hosts through a TCP relay that stands still at times,
    and SMALL_SEGMENTS has the kernel announce small segments and windows for them and delay their
    acknowledgements.

    WAVES has clients send the requests of the site's sheet, in waves of each zone's own phase.

    NOISE has upstreams be slower in spells, lose their caches and fail or reject some requests
    themselves, as those of the sheet do; hosts then place and retry under stops. BROKEN_UPSTREAMS
    has them break requests off, send bytes that are no answer, crash and return: what others have
    sent on the same client connection, and to other upstreams, must still be answered.

    LEAVING_CLIENTS has many clients give up at once, which frees many upstreams and connections in
    one moment. SMALL_WINDOWS has clients read a few KB a round trip and pause, so that answers are
    still being sent as a host stops. OLD_PROTOCOL has clients speak HTTP/1.0, with and without kept
    connections, and LAST_CLOSE has them say that a request is the last one: then the host decides
    when the connection ends.

    KILLS kills and pauses hosts in series beside planned work: what the others hold on kept
    connections must not be cut for that. STORE has the store slow, silent or down for seconds,
    which excuses nothing. EARLY sends signals to processes that start or have only just become
    ready, again and again: accepted connections must not end with them. CROWD opens thousands of
    idle connections to hosts with few descriptors, and bursts beyond their backlog as they stop or
    reload, so that connections wait to be accepted as listening ends.

    DRILL has the store away for a moment and return from a copy some seconds old, again and again:
    upstreams and configurations that have gone are back, and others are missing, until their
    writers have written them again.

    RELOADS sends SIGHUP to most hosts, again and again, with changed settings and with unchanged
    ones. It takes the place of the planned stops, so that hosts stay in touch.

    LEADER_CUT cuts the host that was the last to write to the store under a condition off from the
    store one way, and FIRST_WRITER_KILLED kills the one that was the first. STORE_BUSY has the
    store refuse all calls of hosts.

    GROWN plays the grown fleet of the site, whose requests outlast the time that a stop has.

    MEMORY_LIMIT gives each host the address space that the site's sheet gives it as memory.
    """

    HALF_CLOSE = "half-close"
    HALF_CLOSE_ALL = "half-close-all"
    GIVE_UP = "give-up"
    BEHIND_PROXY = "behind-proxy"
    SMALL_SEGMENTS = "small-segments"
    WAVES = "waves"
    NOISE = "noise"
    BROKEN_UPSTREAMS = "broken-upstreams"
    LEAVING_CLIENTS = "leaving-clients"
    SMALL_WINDOWS = "small-windows"
    OLD_PROTOCOL = "http-1.0"
    LAST_CLOSE = "last-close"
    KILLS = "kills"
    STORE = "store"
    EARLY = "early"
    CROWD = "crowd"
    DRILL = "drill"
    RELOADS = "reloads"
    LEADER_CUT = "leader-cut"
    FIRST_WRITER_KILLED = "first-writer-killed"
    STORE_BUSY = "store-busy"
    GROWN = "grown"
    MEMORY_LIMIT = "memory-limit"


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
