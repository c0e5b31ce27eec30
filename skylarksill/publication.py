"""Publishing a configuration through the platform store.

Shards are written first and the head last, by a conditional update. Every write here is safe to
retry: a shard's key is its digest, and the condition on the head lets only one write succeed.
"""

import dataclasses

from skylarksill import configuration, objectstore, records

MAX_WRITE_ATTEMPTS = 5
INITIAL_RETRY_DELAY_S = 0.2


class ConflictError(records.SkylarksillError):
    """The store holds a configuration that another operator published.

    Attributes:
      published: The PublishedConfiguration that the store holds now.
      verdict: MAY_HAVE_RUN if a write of this call lost its reply and may have been in effect
        before the other one.
    """

    def __init__(self, published, verdict):
        generation = published.head.generation if published.head else 0
        super().__init__(f"generation {generation} of another write is in the store")
        self.published = published
        self.verdict = verdict


class DamagedConfigurationError(records.SkylarksillError):
    """The configuration in the store is damaged.

    Attributes:
      problems: Problems that were found.
      version: The head object's version, the condition for replacing it.
      head: The head, or None if the head itself is damaged.
    """

    def __init__(self, problems, version, head=None):
        super().__init__(f"the configuration in the store is damaged: {problems[0]}")
        self.problems = problems
        self.version = version
        self.head = head


class PublishError(records.SkylarksillError):
    """The store did not confirm the write.

    Attributes:
      verdict: NOT_RUN if nothing changed, MAY_HAVE_RUN if the write may still take effect.
    """

    def __init__(self, verdict, detail):
        super().__init__(f"{detail}; verdict {verdict.value}")
        self.verdict = verdict


@dataclasses.dataclass(frozen=True, slots=True)
class PublishedConfiguration:
    """What the store holds; head and configuration are None before the first publication.

    Only the configuration is None if shards are damaged. ``version`` is the head object's version,
    the condition of the next update.
    """

    version: int
    head: records.ConfigurationHead | None
    configuration: records.Configuration | None

    @property
    def generation(self):
        """Generation in the store; 0 before the first publication."""
        return self.head.generation if self.head else records.Generation(0)


def read_published(store):
    """Reads the published configuration from the store.

    Args:
      store: An objectstore.ObjectStore.
    Returns:
      A PublishedConfiguration.
    Raises:
      DamagedConfigurationError: If the store's objects are damaged or missing.
      objectstore.StoreError: If the store could not be read.
    """
    version, head = _read_head(store)
    if head is None:
        return PublishedConfiguration(version, None, None)
    texts = {}
    for _, digest in head.shards:
        try:
            texts[digest] = _decode_text(store.get(configuration.SHARD_PREFIX + digest)[1])
        except objectstore.MissingError:
            continue
    joined, problems = configuration.join_shards(head, texts)
    if problems:
        raise DamagedConfigurationError(problems, version, head)
    return PublishedConfiguration(version, head, joined)


def publish_configuration(store, base, changed, write_id, clock):
    """Publishes a configuration as the generation after the one it is based on.

    Args:
      store: An objectstore.ObjectStore.
      base: The PublishedConfiguration that the change is based on.
      changed: The Configuration to publish; its generation is replaced.
      write_id: Text that is unique to this write.
      clock: A clock whose ``sleep`` delays retries.
    Returns:
      The ConfigurationHead that is in the store.
    Raises:
      ConflictError: If the head in the store is not that of ``base``.
      PublishError: If the store did not confirm the write.
      DamagedConfigurationError: If the store's head cannot be read back.
    """
    generation = records.Generation(base.generation + 1)
    head, texts = configuration.split_shards(dataclasses.replace(changed, generation=generation))
    head = dataclasses.replace(head, write_id=write_id)
    # If every shard of the base was read back intact, its unchanged shards are not rewritten.
    stored_digests = {digest for _, digest in base.head.shards} if base.configuration else set()
    for digest, text in texts.items():
        if digest not in stored_digests:
            _write_shard(store, digest, text.encode(), clock)
    _write_head(store, base, head, clock)
    return head


def _write_shard(store, digest, value, clock):
    key = configuration.SHARD_PREFIX + digest
    version = objectstore.MUST_NOT_EXIST
    last_error = "other writes keep changing its object"
    for retry_delay_s in _list_retry_delays():
        try:
            store.put(key, value, version)
            return
        except objectstore.ConflictError:
            version = _find_version_to_overwrite(store, key, value)
            if version is None:
                return
        except objectstore.StoreError as error:
            last_error = error
        clock.sleep(retry_delay_s)
    # Shards have no effect until a head names them.
    raise PublishError(records.Verdict.NOT_RUN, f"shard {digest} was not stored: {last_error}")


def _find_version_to_overwrite(store, key, value):
    """Returns the version of the object to overwrite, or None if its value is correct."""
    try:
        version, stored_value = store.get(key)
    except objectstore.StoreError:
        return objectstore.MUST_NOT_EXIST
    return None if stored_value == value else version


def _write_head(store, base, head, clock):
    value = configuration.format_head(head).encode()
    verdict = records.Verdict.NOT_RUN
    last_error = None
    for retry_delay_s in _list_retry_delays():
        try:
            store.put(configuration.HEAD_KEY, value, base.version)
            return
        except objectstore.ConflictError as error:
            # An earlier attempt whose reply was lost may have changed the version itself.
            if _is_head_stored(store, head):
                return
            raise _make_conflict_error(store, verdict) from error
        except objectstore.StoreError as error:
            last_error = error
            if error.verdict is records.Verdict.MAY_HAVE_RUN:
                verdict = error.verdict
                if _is_head_stored(store, head):
                    return
        clock.sleep(retry_delay_s)
    raise PublishError(verdict, f"the head was not confirmed: {last_error}")


def _is_head_stored(store, head):
    try:
        return _read_head(store)[1] == head
    except (objectstore.StoreError, DamagedConfigurationError):
        return False


def _make_conflict_error(store, verdict):
    try:
        return ConflictError(read_published(store), verdict)
    except objectstore.StoreError as error:
        return PublishError(verdict, f"another head is in the store and cannot be read: {error}")


def _read_head(store):
    try:
        version, value = store.get(configuration.HEAD_KEY)
    except objectstore.MissingError:
        return objectstore.MUST_NOT_EXIST, None
    head, problems = configuration.parse_head(_decode_text(value))
    if problems:
        raise DamagedConfigurationError(problems, version)
    return version, head


def _decode_text(value):
    return value.decode("utf-8", errors="replace")


def _list_retry_delays():
    return [INITIAL_RETRY_DELAY_S * 2**attempt for attempt in range(MAX_WRITE_ATTEMPTS)]
