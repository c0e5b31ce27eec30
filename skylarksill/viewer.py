"""Client of the host's agent that keeps a copy of the agent's view in a daemon.

Lookup, entry and dispatch daemons report their load through it and read peers, loads, suspects and
the configuration from it. While the agent does not answer, the last view remains available, with
its age.
"""

import dataclasses

import eventlet
from eventlet import event

from skylarksill import configuration, logs, messages, records, rpc

POLL_INTERVAL_S = 0.2
CALL_TIMEOUT_S = 1.0
STALE_AFTER_S = 2.0
SHARDS_PER_CALL = 4


@dataclasses.dataclass(frozen=True, slots=True)
class Reports:
    """Functions of a daemon that are called at each poll and return tuples of entries to report."""

    loads: object = tuple
    upstreams: object = tuple
    suspects: object = tuple


class AgentViewClient:
    """Polls the host's agent in a green thread and holds the last view.

    Args:
      settings: The host's Settings.
      clock: A clock with ``monotonic()``.
      part: Name of the daemon, for example "entry".
      incarnation: Incarnation of the daemon.
      configuration_callback: Function of (Configuration, ConfigurationHead) that is called once for
        each accepted configuration, in rising order of generations, before ``configuration``
        changes. May be None.
      reports: Reports with the functions that return the daemon's loads, upstreams and suspects.
      includes_blocks: False leaves client blocks out of the configuration and does not fetch them.
      client: An rpc.RpcClient of the agent, or an object with the same ``call`` and ``peer``.

    Attributes:
      state: The daemon's LifecycleState, reported with each poll.
      view: The last messages.ViewResult, completed to all peers, or None before the first answer.
      configuration: The records.Configuration in force, or None.
      head: The ConfigurationHead of ``configuration``, or None.
    """

    def __init__(
        self,
        settings,
        clock,
        part,
        incarnation,
        configuration_callback=None,
        reports=None,
        includes_blocks=True,
        client=None,
    ):
        self.state = records.LifecycleState.SERVING
        self.view = None
        self.configuration = None
        self.head = None
        self._clock = clock
        self._part = part
        self._incarnation = incarnation
        self._configuration_callback = configuration_callback
        self._reports = reports or Reports()
        self._client = client or rpc.RpcClient(
            (settings.address, settings.agent_port),
            settings.shared_key,
            rpc.Identity(part, settings.host, incarnation),
        )
        self._log = logs.make_logger(part)
        self._last_agent = None
        self._version = 0
        self._answered_at = None
        self._view_received_at = None
        self._includes_blocks = includes_blocks
        self._reader = configuration.ShardReader(includes_blocks)
        self._rejected_head = None
        self._is_failing = False
        self._wake_event = event.Event()
        self._thread = None

    @property
    def age_s(self):
        """Seconds since the agent last answered, or infinity if it never did."""
        if self._answered_at is None:
            return float("inf")
        return self._clock.monotonic() - self._answered_at

    @property
    def is_stale(self):
        """True if the agent has not answered for STALE_AFTER_S."""
        return self.age_s > STALE_AFTER_S

    @property
    def load_age_offset_ms(self):
        """Milliseconds to add to the ``age_ms`` of the view's entries."""
        if self._view_received_at is None:
            return 0
        return int(1000 * (self._clock.monotonic() - self._view_received_at))

    def start(self):
        """Starts polling."""
        self._thread = eventlet.spawn(self._run)

    def stop(self):
        """Stops polling; the last view remains available."""
        if self._thread:
            self._thread.kill()
            self._thread = None
        if hasattr(self._client, "close"):
            self._client.close()

    def request_poll(self):
        """Starts the next poll without delay, for example after a death or when leaving."""
        if not self._wake_event.ready():
            self._wake_event.send()

    def poll(self):
        """Reports to the agent once and applies its answer.

        Raises:
          rpc.RpcError, records.SkylarksillError: If the agent gave no valid answer.
        """
        if self._client.peer != self._last_agent:
            self._version = 0
        call = messages.ViewCall(
            self._part,
            self._incarnation,
            self.state,
            self._version,
            tuple(self._reports.loads()),
            tuple(self._reports.upstreams()),
            tuple(self._reports.suspects()),
        )
        result = self._call("view", call, messages.ViewResult)
        # A restarted agent counts its versions from the start, so its answer to a version of the
        # former agent may lack changes. The next poll asks for the full view.
        is_new_agent = self._client.peer != self._last_agent
        self._last_agent = self._client.peer
        if is_new_agent and call.version:
            self._version = 0
            return
        self._apply_result(result, call.version)
        try:
            self._apply_configuration(result)
        except records.SkylarksillError:
            # The agent sends a head only once; a full view contains it again.
            self._version = 0
            raise

    def _run(self):
        while True:
            try:
                self.poll()
                self._record_success()
            except records.SkylarksillError as error:
                self._record_failure(error)
            except Exception:
                self._log.exception("poll of the agent failed")
            self._pause()

    def _pause(self):
        self._wake_event.wait(POLL_INTERVAL_S)
        if self._wake_event.ready():
            self._wake_event = event.Event()

    def _call(self, method, message, result_type):
        body = self._client.call(method, messages.encode_message(message), CALL_TIMEOUT_S)
        return messages.decode_message(result_type, body)

    def _apply_result(self, result, requested_version):
        now = self._clock.monotonic()
        self._answered_at = now
        if self.view is not None and requested_version and result.version == requested_version:
            self.view = dataclasses.replace(self.view, store_age_ms=result.store_age_ms)
            return
        if self.view is not None and result.head is None:
            result = dataclasses.replace(result, head=self.view.head)
        if result.is_delta and self.view is not None:
            peers = {peer.entry.host: peer for peer in self.view.peers}
            peers.update((peer.entry.host, peer) for peer in result.peers)
            result = dataclasses.replace(result, peers=tuple(peers.values()), is_delta=False)
        self.view = result
        self._version = result.version
        self._view_received_at = now

    def _apply_configuration(self, result):
        if result.head is None:
            return
        head = (
            result.head if self._includes_blocks else configuration.select_core_shards(result.head)
        )
        if head == self._rejected_head or not self._is_newer(head):
            return
        joined, problems = self._reader.read(head, self._fetch_texts(head, result.shards))
        if problems:
            self._rejected_head = head
            self._log.error("rejected generation {}: {}", head.generation, problems[0])
            return
        if self._configuration_callback:
            self._configuration_callback(joined, head)
        self.configuration = joined
        self.head = head

    def _is_newer(self, head):
        if self.head is None or head.generation != self.head.generation:
            return self.head is None or head.generation > self.head.generation
        # The agent may replace a head of the same generation that the store did not keep.
        return head.write_id != self.head.write_id

    def _fetch_texts(self, head, received):
        """Fetches the shards that are not in the last head; the reader holds the others."""
        known_digests = {digest for _, digest in self.head.shards} if self.head else set()
        texts = dict(received)
        missing = [d for _, d in head.shards if d not in known_digests and d not in texts]
        for start in range(0, len(missing), SHARDS_PER_CALL):
            call = messages.ShardsCall(tuple(missing[start : start + SHARDS_PER_CALL]))
            texts.update(self._call("shards", call, messages.ShardsResult).shards)
        return texts

    def _record_success(self):
        if self._is_failing:
            self._log.info("agent answers again")
        self._is_failing = False

    def _record_failure(self, error):
        if not self._is_failing:
            self._log.warning("agent does not answer, using the last view: {}", error)
        self._is_failing = True
