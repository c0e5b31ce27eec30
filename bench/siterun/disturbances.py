"""Disturbances and early signals of a run: drawn from its seed, and played on its processes."""

import collections
import dataclasses
import enum
import random
import signal
import time

import eventlet

from bench.siterun import conditions, records
from bench.soak import proxies

# Mean time between two series of one sort, and the longest time between two hosts of a series.
KILL_PAUSE_S = 7.0
FREEZE_PAUSE_S = 6.0
STORE_PAUSE_S = 6.0
EARLY_PAUSE_S = 5.0
DRILL_PAUSE_S = 7.0
CUT_PAUSE_S = 9.0
WRITER_PAUSE_S = 6.0
BUSY_PAUSE_S = 8.0
MAX_GAP_S = 1.5
MAX_HOSTS = 3
# Times for which hosts are down or paused, and the store is disturbed.
DOWN_S = (0.1, 2.0)
FROZEN_S = (0.3, 3.0)
STORE_S = (0.5, 5.0)
# Age of the copy from which the store returns, and the time for which it is away.
COPY_AGE_S = (0.5, 5.0)
AWAY_S = (0.1, 1.5)
# Times of the host that is cut off from the store's answers, of the one that is killed as the first
# writer, and of the store that refuses calls.
CUT_S = 5.5
WRITER_DOWN_S = 3.5
BUSY_S = 4.5
CUT_MODES = (proxies.Mode.ONE_WAY, proxies.Mode.TOWARD_TARGET)
STORE_MODES = (proxies.Mode.DELAY, proxies.Mode.SILENT, proxies.Mode.RESET)
# Early signals to a host in turn, and the longest times to them.
MAX_EARLY_STOPS = 4
MAX_STARTING_S = 1.2
MAX_SERVING_S = 1.0
MAX_SECOND_SIGNAL_S = 0.6
RESTART_PAUSE_S = 0.1
READY_TIMEOUT_S = 10.0
READY_POLL_S = 0.005


class Moment(enum.Enum):
    """When an early signal comes: as the process starts, is ready, or has just become ready."""

    STARTING = "starting"
    READY = "ready"
    SERVING = "serving"


@dataclasses.dataclass(frozen=True, slots=True)
class KillHost:
    """Kills a host, which starts again ``down_s`` seconds later."""

    host: int
    down_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class PauseHost:
    """Stops a host's process for ``frozen_s`` seconds."""

    host: int
    frozen_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class DisturbStore:
    """Makes the store slow, silent or unreachable for all hosts."""

    mode: proxies.Mode
    for_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class CutLastWriter:
    """Cuts the host that was the last to write under a condition off from the store one way.

    Attributes:
      mode: Which direction is held back.
    """

    for_s: float
    mode: proxies.Mode = proxies.Mode.ONE_WAY


@dataclasses.dataclass(frozen=True, slots=True)
class KillFirstWriter:
    """Kills the host that was the first to write under a condition; it starts again later."""

    down_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class RefuseCalls:
    """Has the store refuse all calls with 503."""

    for_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class ReturnStore:
    """Copies the store; ``age_s`` later it is away for ``away_s`` and returns from the copy."""

    age_s: float
    away_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class EarlyStop:
    """SIGTERM at a moment of a new process.

    Attributes:
      delay_s: Seconds from the moment.
      signals: Pairs of seconds from SIGTERM and the name of a further signal.
    """

    moment: Moment
    delay_s: float
    signals: tuple[tuple[float, str], ...]


@dataclasses.dataclass(frozen=True, slots=True)
class StopEarly:
    """Stops a host, and then its new processes, one after the other."""

    host: int
    stops: tuple[EarlyStop, ...]


def make_series(seed, length_s, host_count, played):
    """Draws the disturbances and early signals of a run.

    Args:
      seed: Seed of the run.
      length_s: Length of the time in which they begin, in seconds.
      host_count: Number of hosts.
      played: The conditions.Condition items that are played.
    Returns:
      A list of (start in seconds, event), ordered by start.
    """
    sorts = []
    if conditions.Condition.KILLS in played:
        sorts += [(_draw_kills, KILL_PAUSE_S), (_draw_pauses, FREEZE_PAUSE_S)]
    if conditions.Condition.STORE in played:
        sorts.append((_draw_store, STORE_PAUSE_S))
    if conditions.Condition.DRILL in played:
        sorts.append((_draw_return, DRILL_PAUSE_S))
    if conditions.Condition.LEADER_CUT in played:
        sorts.append((_draw_cut, CUT_PAUSE_S))
    if conditions.Condition.FIRST_WRITER_KILLED in played:
        sorts.append((_draw_first_writer, WRITER_PAUSE_S))
    if conditions.Condition.STORE_BUSY in played:
        sorts.append((_draw_busy_store, BUSY_PAUSE_S))
    if conditions.Condition.EARLY in played:
        sorts.append((_draw_early, EARLY_PAUSE_S))
    events = []
    for draw, pause_s in sorts:
        rng = random.Random(f"{seed} {draw.__name__}")
        begin = rng.uniform(0.0, min(pause_s, length_s / 2))
        while begin < length_s:
            at = begin
            for event in draw(rng, host_count):
                events.append((round(at, 3), event))
                at += rng.uniform(0.0, MAX_GAP_S)
            begin += rng.expovariate(1.0 / pause_s)
    return sorted(((at, event) for at, event in events if at < length_s), key=lambda item: item[0])


def _sample_hosts(rng, host_count):
    return rng.sample(range(host_count), rng.randint(1, min(MAX_HOSTS, host_count)))


def _draw_kills(rng, host_count):
    return [KillHost(host, rng.uniform(*DOWN_S)) for host in _sample_hosts(rng, host_count)]


def _draw_pauses(rng, host_count):
    return [PauseHost(host, rng.uniform(*FROZEN_S)) for host in _sample_hosts(rng, host_count)]


def _draw_store(rng, host_count):
    return [DisturbStore(rng.choice(STORE_MODES), rng.uniform(*STORE_S))]


def _draw_return(rng, host_count):
    return [ReturnStore(rng.uniform(*COPY_AGE_S), rng.uniform(*AWAY_S))]


def _draw_cut(rng, host_count):
    return [CutLastWriter(CUT_S, rng.choice(CUT_MODES))]


def _draw_first_writer(rng, host_count):
    return [KillFirstWriter(WRITER_DOWN_S)]


def _draw_busy_store(rng, host_count):
    return [RefuseCalls(BUSY_S)]


def _draw_early(rng, host_count):
    return [
        StopEarly(host, tuple(_draw_stop(rng) for _ in range(rng.randint(1, MAX_EARLY_STOPS))))
        for host in _sample_hosts(rng, host_count)
    ]


def _draw_stop(rng):
    moment = rng.choice(list(Moment))
    delay_s = 0.0
    if moment is not Moment.READY:
        delay_s = rng.uniform(0.0, MAX_STARTING_S if moment is Moment.STARTING else MAX_SERVING_S)
    # A process that is only starting has no handler for SIGHUP yet.
    names = ["SIGTERM"] if moment is Moment.STARTING else ["SIGTERM", "SIGHUP"]
    signals = ()
    if rng.random() < 0.5:
        signals = ((rng.uniform(0.0, MAX_SECOND_SIGNAL_S), rng.choice(names)),)
    return EarlyStop(moment, delay_s, signals)


class Disturber:
    """Plays the events on the processes of a rig.

    Args:
      rig: The rig.Rig.
    """

    def __init__(self, rig):
        self._rig = rig
        # Number of the disturbances on each path to the store, by index of the host.
        self._cut_paths = collections.Counter()
        self._refusals = 0

    def apply(self, event):
        """Plays an event to its end."""
        match event:
            case KillHost(index, down_s):
                self._kill(self._rig.hosts[index], down_s)
            case PauseHost(index, frozen_s):
                self._pause(self._rig.hosts[index], frozen_s)
            case DisturbStore(mode, for_s):
                self._disturb_store(self._rig.hosts, mode, for_s)
            case CutLastWriter(for_s, mode):
                self._disturb_store(self._rig.list_writers()[-1:], mode, for_s)
            case KillFirstWriter(down_s):
                self._kill(self._rig.list_writers()[0], down_s)
            case RefuseCalls(for_s):
                self._refuse_calls(for_s)
            case ReturnStore(age_s, away_s):
                self._return_store(age_s, away_s)
            case StopEarly(index, stops):
                self._stop_early(self._rig.hosts[index], stops)

    def _begin(self, host):
        disturbance = records.Disturbance(host and host.ip, time.monotonic())
        self._rig.observations.disturbances.append(disturbance)
        return disturbance

    def _kill(self, host, down_s):
        with self._rig.claim(host) as is_free:
            if not is_free:
                return
            disturbance = self._begin(host)
            host.process.kill()
            host.process.wait()
            eventlet.sleep(down_s)
            self._rig.start_host(host)
            disturbance.ends_at = time.monotonic()
            self._rig.await_ready(host)

    def _pause(self, host, frozen_s):
        process = host.process
        if process.poll() is not None:
            return
        disturbance = self._begin(host)
        process.send_signal(signal.SIGSTOP)
        eventlet.sleep(frozen_s)
        if process.poll() is None:
            process.send_signal(signal.SIGCONT)
        disturbance.ends_at = time.monotonic()

    def _disturb_store(self, disturbed, mode, for_s):
        disturbance = self._begin(None)
        for host in disturbed:
            self._cut_paths[host.index] += 1
            host.store_proxy.set_mode(mode)
        eventlet.sleep(for_s)
        for host in disturbed:
            self._cut_paths[host.index] -= 1
            if not self._cut_paths[host.index]:
                host.store_proxy.set_mode(proxies.Mode.PASS)
        disturbance.ends_at = time.monotonic()

    def _refuse_calls(self, for_s):
        disturbance = self._begin(None)
        self._refusals += 1
        self._rig.refuse_calls(True)
        eventlet.sleep(for_s)
        self._refusals -= 1
        self._rig.refuse_calls(self._refusals > 0)
        disturbance.ends_at = time.monotonic()

    def _return_store(self, age_s, away_s):
        rng = random.Random(f"{age_s} {away_s}")
        older = self._rig.store.copy()
        eventlet.sleep(age_s)
        self._disturb_store(self._rig.hosts, proxies.Mode.RESET, away_s)
        self._rig.observations.lost_writes += self._rig.store.return_from_copy(older, rng)

    def _stop_early(self, host, stops):
        with self._rig.claim(host) as is_free:
            if not is_free:
                return
            self._rig.end_host(host, ())
            for stop in stops:
                eventlet.sleep(RESTART_PAUSE_S)
                self._rig.start_host(host)
                if stop.moment is not Moment.STARTING:
                    self._await_first_ready(host)
                eventlet.sleep(stop.delay_s)
                self._rig.note_own_end(host)
                self._rig.end_host(host, stop.signals)
            eventlet.sleep(RESTART_PAUSE_S)
            self._rig.start_host(host)
            self._rig.await_ready(host)

    def _await_first_ready(self, host):
        ends_at = time.monotonic() + READY_TIMEOUT_S
        while not host.is_ready() and time.monotonic() < ends_at:
            eventlet.sleep(READY_POLL_S)
