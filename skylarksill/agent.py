"""The agent daemon of a host.

It keeps configuration, membership, loads and suspects up to date by gossip with other agents and by
watching the platform store, and provides them to the host's other daemons.
"""

import os

import eventlet

from skylarksill import (
    _agentpeers,
    _agentstate,
    _agentwatch,
    logs,
    messages,
    objectstore,
    propagation,
    records,
    rpc,
)

INCARNATION_BYTES = 8
# Time for the host's daemons to start leaving, and for the peers to learn of it.
LEAVE_NOTICE_S = 1.0
LEAVE_POLL_S = 0.1
LEAVING_PART_TIMEOUT_S = 0.7
LEAVE_PUSH_TARGETS = 64


class AgentDaemon:
    """The agent's process.

    Args:
      settings: The host's Settings.
      clock: A clock.
      store: An ObjectStore; if None, one is made from the settings.
      make_client, rng: See _agentpeers.Peers.
    """

    def __init__(self, settings, clock, store=None, make_client=None, rng=None):
        self._settings = settings
        self._clock = clock
        self._log = logs.make_logger("agent")
        incarnation = records.Incarnation(os.urandom(INCARNATION_BYTES).hex())
        entry = messages.PeerEntry(
            host=settings.host,
            zone=settings.zone,
            incarnation=incarnation,
            heartbeat=int(clock.unix() * 1000),
            generation=records.Generation(0),
            state=records.LifecycleState.SERVING,
            parts=(),
        )
        identity = rpc.Identity("agent", settings.host, incarnation)
        if store is None and settings.platform is not None:
            store = objectstore.ObjectStore(settings.platform, settings.host)
        self._state = _agentstate.AgentState(entry, clock.monotonic())
        self._peers = _agentpeers.Peers(settings, clock, self._state, identity, make_client, rng)
        self._watcher = _agentwatch.StoreWatcher(store, clock, self._state, self._peers)
        self._store = store
        self._identity = identity
        self._server = None
        self._threads = []

    @property
    def handlers(self):
        """Handlers of the agent's RPC methods by name."""
        return {
            "view": self._serve_view,
            "exchange": self._peers.serve_exchange,
            "shards": self._serve_shards,
            "packed_shards": self._serve_packed_shards,
            "status": self._serve_status,
        }

    @property
    def state(self):
        """The AgentState."""
        return self._state

    def join(self):
        """Queries the store and the seed peers and adopts the highest generation it can fetch."""
        self._adopt_highest()
        self._peers.is_joining = False

    def step(self):
        """Runs one round of exchanges and of watching; ``start`` repeats both in green threads."""
        self._peers.exchange_once()
        self._watcher.step()

    def start(self):
        """Starts the RPC server and, in the background, joins the other agents.

        Returns:
          IP address and port that the agent listens on.
        """
        address = (self._settings.address, self._settings.agent_port)
        self._server = rpc.RpcServer(
            address, self._settings.shared_key, self._identity, self.handlers
        )
        self._threads = [eventlet.spawn(self._server.serve), eventlet.spawn(self._run)]
        return self._settings.address, self._server.port

    def leave(self):
        """Publishes that the host is leaving, serves its daemons until they stop and shuts down."""
        self.publish_state(records.LifecycleState.LEAVING)
        eventlet.sleep(LEAVE_NOTICE_S)
        while self._state.has_leaving_parts(self._clock.monotonic(), LEAVING_PART_TIMEOUT_S):
            eventlet.sleep(LEAVE_POLL_S)
        self.publish_state(records.LifecycleState.DRAINED)
        for thread in self._threads:
            thread.kill()
        self._server.close()
        self._peers.close()

    def publish_state(self, life_state):
        """Sets the LifecycleState of the host and pushes it to peers immediately."""
        self._state.life_state = life_state
        self._state.increment_heartbeat(self._clock.monotonic(), self._clock.unix())
        self._log.info("host={} is {}", self._settings.host, life_state.value)
        self._peers.push(count=LEAVE_PUSH_TARGETS)

    def describe_in_flight(self):
        """Describes the work that a second signal would interrupt."""
        return f"{self._peers.in_flight} exchanges"

    def _run(self):
        self.join()
        self._threads.append(eventlet.spawn(self._peers.run))
        self._threads.append(eventlet.spawn(self._watcher.run))

    def _adopt_highest(self):
        store_thread = eventlet.spawn(self._read_store)
        offers = [
            (mark, head, address)
            for address, mark, head in self._peers.query_seed_peers()
            if head is not None
        ]
        mark, head = store_thread.wait()
        if head is not None:
            offers.append((mark, head, None))
        while offers:
            highest = propagation.find_highest([mark for mark, _, _ in offers])
            for offer in [offer for offer in offers if offer[0] == highest]:
                offers.remove(offer)
                if self._fetch_offered(*offer):
                    return
        self._log.warning(
            "no configuration available from the store or {} seed peers", len(self._settings.peers)
        )

    def _read_store(self):
        try:
            return self._watcher.read_head() if self._store is not None else (None, None)
        except objectstore.StoreError as error:
            self._log.warning("store did not answer while joining: {}", error)
            return None, None

    def _fetch_offered(self, mark, head, address):
        try:
            if address is None:
                self._watcher.fetch(mark, head)
            else:
                self._peers.fetch(address, mark, head)
        except records.SkylarksillError as error:
            self._log.warning("generation={} was not fetched: {}", mark.generation, error)
        return self._state.accepted.in_force is not None

    def _serve_view(self, body, context):
        call = messages.decode_message(messages.ViewCall, body)
        now = self._clock.monotonic()
        if self._state.record_report(call, now):
            eventlet.spawn_n(self._peers.push)
        return self._state.encode_view(call, now)

    def _serve_shards(self, body, context):
        call = messages.decode_message(messages.ShardsCall, body)
        shards = self._state.get_shard_texts(call.digests)
        return messages.encode_message(messages.ShardsResult(shards))

    def _serve_packed_shards(self, body, context):
        call = messages.decode_message(messages.ShardsCall, body)
        shards = self._state.get_packed_shards(call.digests)
        return messages.encode_message(messages.PackedShardsResult(shards))

    def _serve_status(self, body, context):
        status = self._state.make_status(self._clock.monotonic())
        return messages.encode_message(status)
