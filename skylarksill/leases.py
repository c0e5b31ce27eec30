"""Leases on platform objects, with an increasing epoch that fences former holders.

For embedders and singleton jobs, for example a job that writes a report once an hour. No clocks of
two hosts are compared: the holder counts its lease from before the write that granted it, and
another host counts from when it first saw that write. A holder calls ``check_lease`` before each
act and hands the epoch on to what it changes, where a ``Fence`` refuses lower epochs.
"""

import dataclasses
import json
import os

from skylarksill import objectstore, records

TOKEN_BYTES = 16
# Clocks of two hosts may run at rates that differ by this share.
CLOCK_DRIFT = 0.01
LAPSE_MARGIN_S = 0.1


class LeaseError(records.SkylarksillError):
    """A lease was not obtained or is not valid; the act that needs it must not start."""


class LeaseLapsedError(LeaseError):
    """The lease's time has passed; another host may hold it."""


class LeaseLostError(LeaseError):
    """Another holder has taken the lease."""


class StaleEpochError(LeaseError):
    """An act came from a former holder."""


class LeaseHeldError(LeaseError):
    """Another holder has the lease.

    Attributes:
      observation: To be handed to the next ``acquire_lease``, which takes the lease once it has
        stayed unchanged for its duration.
    """

    def __init__(self, observation):
        super().__init__(f"lease {observation.key!r} is held by {observation.record.holder}")
        self.observation = observation


@dataclasses.dataclass(frozen=True, slots=True)
class LeaseRecord:
    """Content of a lease's object; ``token`` is unique to one acquisition."""

    holder: str
    token: str
    epoch: int
    duration_ms: int
    is_released: bool


@dataclasses.dataclass(frozen=True, slots=True)
class Observation:
    """A lease as another host saw it; ``first_seen`` is monotonic seconds of that host."""

    key: str
    version: int
    record: LeaseRecord
    first_seen: float


@dataclasses.dataclass(frozen=True, slots=True)
class Lease:
    """A held lease.

    Attributes:
      key: Key of the platform object.
      version: Version of the object after the last write of this holder.
      record: The object's LeaseRecord.
      expires_at: Monotonic seconds of the holder's clock.
    """

    key: str
    version: int
    record: LeaseRecord
    expires_at: float

    @property
    def epoch(self):
        """Number that rises with each acquisition."""
        return self.record.epoch


class Fence:
    """Guards a resource: admits an epoch only if none higher was admitted before."""

    def __init__(self):
        self._highest = 0

    def admit(self, epoch):
        """Admits an act.

        Raises:
          StaleEpochError: If an act with a higher epoch was admitted before.
        """
        if epoch < self._highest:
            raise StaleEpochError(f"epoch {epoch} is older than {self._highest}")
        self._highest = epoch


def acquire_lease(store, clock, key, holder, duration_s, former=None):
    """Tries to acquire a lease.

    Args:
      store: An ObjectStore.
      clock: A clock of this host.
      key: Key of the platform object.
      holder: Name of this holder.
      duration_s: Duration of the lease in seconds.
      former: The Observation of a former LeaseHeldError, or None.
    Returns:
      A Lease with a new epoch.
    Raises:
      LeaseHeldError: If another holder has it, as far as this host can tell.
      objectstore.StoreError: If the store gave no answer; the lease is then not held.
    """
    seen = _observe(store, clock, key, former)
    if seen is not None and not _has_lapsed(seen, clock.monotonic()):
        raise LeaseHeldError(seen)
    record = LeaseRecord(
        holder=holder,
        token=os.urandom(TOKEN_BYTES).hex(),
        epoch=seen.record.epoch + 1 if seen else 1,
        duration_ms=int(duration_s * 1000),
        is_released=False,
    )
    version = seen.version if seen else objectstore.MUST_NOT_EXIST
    try:
        return _write(store, clock, key, version, record)
    except objectstore.ConflictError:
        seen = _observe(store, clock, key, None)
        if seen is None:
            raise
        raise LeaseHeldError(seen) from None


def renew_lease(store, clock, lease):
    """Prolongs a lease by its duration.

    Returns:
      The renewed Lease.
    Raises:
      LeaseLapsedError: If its time has passed; it must be acquired anew, with a new epoch.
      LeaseLostError: If another holder has it.
      objectstore.StoreError: If the store gave no answer; the old lease holds until it expires.
    """
    check_lease(lease, clock.monotonic())
    try:
        return _write(store, clock, lease.key, lease.version, lease.record)
    except objectstore.ConflictError:
        version = _find_own_version(store, lease)
    # A former renewal whose reply was lost took effect after it was read back.
    try:
        return _write(store, clock, lease.key, version, lease.record)
    except objectstore.ConflictError as error:
        raise LeaseLostError(f"lease {lease.key!r} was taken") from error


def check_lease(lease, now):
    """Checks a lease before an act.

    Args:
      lease: The Lease.
      now: Monotonic seconds of the holder's clock.
    Returns:
      The epoch, to be handed to what the act changes.
    Raises:
      LeaseLapsedError: If the lease's time has passed, even if no other host holds it.
    """
    if now >= lease.expires_at:
        raise LeaseLapsedError(f"lease {lease.key!r} lapsed {now - lease.expires_at:.3f} s ago")
    return lease.epoch


def release_lease(store, clock, lease):
    """Gives a lease up, so that another holder need not wait for its end.

    Raises:
      LeaseLostError: If another holder has it already.
      objectstore.StoreError: If the store gave no answer.
    """
    record = dataclasses.replace(lease.record, is_released=True)
    try:
        _write(store, clock, lease.key, lease.version, record)
    except objectstore.ConflictError as error:
        raise LeaseLostError(f"lease {lease.key!r} was taken") from error


def _write(store, clock, key, version, record):
    # Counted from before the write, which may take effect late.
    expires_at = clock.monotonic() + record.duration_ms / 1000
    value = json.dumps(dataclasses.asdict(record)).encode()
    try:
        written = store.put(key, value, version)
    except objectstore.ConflictError:
        raise
    except objectstore.StoreError as error:
        if error.verdict is records.Verdict.NOT_RUN:
            raise
        written = _read_back(store, key, version, record, error)
    return Lease(key, written, record, expires_at)


def _read_back(store, key, version, record, error):
    try:
        found_version, value = store.get(key)
    except objectstore.StoreError:
        raise error from None
    if found_version == version:
        raise error
    if _parse_record(value) != record:
        raise objectstore.ConflictError(key, found_version) from error
    return found_version


def _find_own_version(store, lease):
    version, value = store.get(lease.key)
    if _parse_record(value) != lease.record:
        raise LeaseLostError(f"lease {lease.key!r} was taken")
    return version


def _observe(store, clock, key, former):
    try:
        version, value = store.get(key)
    except objectstore.MissingError:
        return None
    record = _parse_record(value)
    if former is not None and (former.key, former.version) == (key, version):
        return former
    return Observation(key, version, record, clock.monotonic())


def _has_lapsed(seen, now):
    duration_s = seen.record.duration_ms / 1000
    lapses_at = seen.first_seen + duration_s * (1 + CLOCK_DRIFT) + LAPSE_MARGIN_S
    return seen.record.is_released or now >= lapses_at


def _parse_record(value):
    try:
        fields = json.loads(value)
        record = LeaseRecord(**fields)
        if type(record.epoch) is int and type(record.duration_ms) is int:
            return record
    except (ValueError, TypeError):
        pass
    raise LeaseError("the lease's object holds no valid lease")
