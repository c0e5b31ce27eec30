"""Leases on objects of the platform store, with an increasing epoch as a fencing token.

For embedding programs and singleton jobs, for example a job that writes a report once an hour.
Clocks of different hosts are never compared: the holder measures the duration from before the write
that granted the lease, and another host from when it first read that write. A holder calls
``check_lease`` before each protected operation and passes the epoch on to the resource that it
changes, where a ``Fence`` rejects lower epochs.
"""

import dataclasses
import json
import os

from skylarksill import objectstore, records

TOKEN_BYTES = 16
# Largest relative difference between the rates of the clocks of two hosts.
CLOCK_DRIFT = 0.01
LAPSE_MARGIN_S = 0.1


class LeaseError(records.SkylarksillError):
    """A lease was not acquired or is not valid; the operation that needs it must not start."""


class LeaseLapsedError(LeaseError):
    """The duration of the lease has passed; another host may hold it."""


class LeaseLostError(LeaseError):
    """Another holder has acquired the lease."""


class StaleEpochError(LeaseError):
    """An operation came from a former holder."""


class LeaseHeldError(LeaseError):
    """Another holder has the lease.

    Attributes:
      observation: The Observation to pass to the next ``acquire_lease``, which acquires the lease
        once it has stayed unchanged for its duration.
    """

    def __init__(self, observation):
        super().__init__(f"lease {observation.key!r} is held by {observation.record.holder}")
        self.observation = observation


@dataclasses.dataclass(frozen=True, slots=True)
class LeaseRecord:
    """Content of the stored object of a lease; ``token`` is unique to one acquisition."""

    holder: str
    token: str
    epoch: int
    duration_ms: int
    is_released: bool


@dataclasses.dataclass(frozen=True, slots=True)
class Observation:
    """A lease as read by a host that does not hold it.

    ``first_seen`` is monotonic seconds of the host that read it.
    """

    key: str
    version: int
    record: LeaseRecord
    first_seen: float


@dataclasses.dataclass(frozen=True, slots=True)
class Lease:
    """A lease held by this process.

    Attributes:
      key: Key of the platform object.
      version: Version of the object after this holder's last write.
      record: The object's LeaseRecord.
      expires_at: Monotonic seconds of the holder's clock.
    """

    key: str
    version: int
    record: LeaseRecord
    expires_at: float

    @property
    def epoch(self):
        """Fencing token, a number that increases with each acquisition."""
        return self.record.epoch


class Fence:
    """Protects a resource from former holders by admitting no epoch lower than an earlier one."""

    def __init__(self):
        self._highest = 0

    def admit(self, epoch):
        """Admits an operation.

        Args:
          epoch: Epoch of the lease that the operation is done under.
        Raises:
          StaleEpochError: If an operation with a higher epoch was admitted before.
        """
        if epoch < self._highest:
            raise StaleEpochError(f"epoch {epoch} is older than {self._highest}")
        self._highest = epoch


def acquire_lease(store, clock, key, holder, duration_s, previous=None):
    """Tries to acquire a lease.

    Args:
      store: An ObjectStore.
      clock: A clock of this host.
      key: Key of the platform object.
      holder: Name of this holder.
      duration_s: Duration of the lease in seconds.
      previous: The Observation of an earlier LeaseHeldError, or None.
    Returns:
      A Lease with a new epoch.
    Raises:
      LeaseHeldError: If another holder has the lease, as far as this host can tell.
      objectstore.StoreError: If the store did not answer; the lease is then not held.
    """
    observed = _observe(store, clock, key, previous)
    if observed is not None and not _has_lapsed(observed, clock.monotonic()):
        raise LeaseHeldError(observed)
    record = LeaseRecord(
        holder=holder,
        token=os.urandom(TOKEN_BYTES).hex(),
        epoch=observed.record.epoch + 1 if observed else 1,
        duration_ms=int(duration_s * 1000),
        is_released=False,
    )
    version = observed.version if observed else objectstore.MUST_NOT_EXIST
    try:
        return _write(store, clock, key, version, record)
    except objectstore.ConflictError:
        observed = _observe(store, clock, key, None)
        if observed is None:
            raise
        raise LeaseHeldError(observed) from None


def renew_lease(store, clock, lease):
    """Extends a lease by its duration from now.

    Returns:
      The renewed Lease.
    Raises:
      LeaseLapsedError: If its duration has passed; it must be acquired again, with a new epoch.
      LeaseLostError: If another holder has it.
      objectstore.StoreError: If the store did not answer; the old lease is valid until it expires.
    """
    check_lease(lease, clock.monotonic())
    try:
        return _write(store, clock, lease.key, lease.version, lease.record)
    except objectstore.ConflictError:
        version = _find_own_version(store, lease)
    # The conflict is with an earlier renewal of this holder: its reply was lost, and the write took
    # effect only after the object had been read back.
    try:
        return _write(store, clock, lease.key, version, lease.record)
    except objectstore.ConflictError as error:
        raise LeaseLostError(f"lease {lease.key!r} was taken") from error


def check_lease(lease, now):
    """Checks a lease before a protected operation.

    Args:
      lease: The Lease.
      now: Monotonic seconds of the holder's clock.
    Returns:
      The epoch, to be passed to the resource that the operation changes.
    Raises:
      LeaseLapsedError: If the duration has passed, even if no other host holds the lease.
    """
    if now >= lease.expires_at:
        raise LeaseLapsedError(f"lease {lease.key!r} lapsed {now - lease.expires_at:.3f} s ago")
    return lease.epoch


def release_lease(store, clock, lease):
    """Releases a lease, so that another holder need not wait until it expires.

    Raises:
      LeaseLostError: If another holder has already acquired it.
      objectstore.StoreError: If the store did not answer.
    """
    record = dataclasses.replace(lease.record, is_released=True)
    try:
        _write(store, clock, lease.key, lease.version, record)
    except objectstore.ConflictError as error:
        raise LeaseLostError(f"lease {lease.key!r} was taken") from error


def _write(store, clock, key, version, record):
    # Measured from before the write, because the write may take effect with a delay.
    expires_at = clock.monotonic() + record.duration_ms / 1000
    value = json.dumps(dataclasses.asdict(record)).encode()
    try:
        written_version = store.put(key, value, version)
    except objectstore.ConflictError:
        raise
    except objectstore.StoreError as error:
        if error.verdict is records.Verdict.NOT_RUN:
            raise
        written_version = _confirm_write(store, key, version, record, error)
    return Lease(key, written_version, record, expires_at)


def _confirm_write(store, key, version, record, error):
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


def _observe(store, clock, key, previous):
    try:
        version, value = store.get(key)
    except objectstore.MissingError:
        return None
    record = _parse_record(value)
    if previous is not None and (previous.key, previous.version) == (key, version):
        return previous
    return Observation(key, version, record, clock.monotonic())


def _has_lapsed(observed, now):
    duration_s = observed.record.duration_ms / 1000
    lapses_at = observed.first_seen + duration_s * (1 + CLOCK_DRIFT) + LAPSE_MARGIN_S
    return observed.record.is_released or now >= lapses_at


def _parse_record(value):
    try:
        fields = json.loads(value)
        record = LeaseRecord(**fields)
        if type(record.epoch) is int and type(record.duration_ms) is int:
            return record
    except (ValueError, TypeError):
        pass
    raise LeaseError("the lease's object holds no valid lease")
