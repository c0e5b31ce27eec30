"""Gossip of an agent with the agents of other hosts.

Agents exchange their state in periodic rounds. Updates that are too urgent for the next round are
pushed to some peers immediately.
"""

import collections
import random

import eventlet
from eventlet import event

from skylarksill import _packing, logs, membership, messages, propagation, records, rpc

EXCHANGE_INTERVAL_S = 1.0
EXCHANGE_TIMEOUT_S = 1.0
# The other agent answers a push only after it has fetched the shards that it lacks.
PUSH_TIMEOUT_S = 2.0
SHARDS_TIMEOUT_S = 1.5
SHARDS_PER_CALL = 4
PUSH_TARGETS = 3
MAX_CLIENTS = 64


class Peers:
    """Exchanges an agent's state with other agents.

    Args:
      settings: The host's Settings.
      clock: A clock.
      state: The AgentState.
      identity: rpc.Identity of this agent.
      make_client: Function of an address that returns an rpc.RpcClient or a fake of it.
      rng: The random.Random that peers are chosen with.

    Attributes:
      is_joining: True until the agent has joined; until then no shards are fetched for heads that
        arrive in messages.
    """

    def __init__(self, settings, clock, state, identity, make_client=None, rng=None):
        self._settings = settings
        self._clock = clock
        self._state = state
        self._log = logs.make_logger("agent")
        self._make_client = make_client or (
            lambda address: rpc.RpcClient(address, settings.shared_key, identity)
        )
        self._peer_choice = membership.PeerChoice(rng or random.SystemRandom())
        self._clients = collections.OrderedDict()
        self._addresses = {}
        self._exchanging = set()
        self._fetching = {}
        self.is_joining = True

    @property
    def in_flight(self):
        """Number of exchanges that wait for an answer."""
        return len(self._exchanging)

    def run(self):
        """Runs a round of exchanges every EXCHANGE_INTERVAL_S until the green thread is killed."""
        next_tick = self._clock.monotonic()
        while True:
            try:
                self.exchange_once()
            except Exception:
                self._log.exception("exchange failed")
            next_tick = max(next_tick + EXCHANGE_INTERVAL_S, self._clock.monotonic())
            eventlet.sleep(next_tick - self._clock.monotonic())

    def exchange_once(self):
        """Increments the heartbeat and starts an exchange with each chosen peer."""
        now = self._clock.monotonic()
        for host in self._state.increment_heartbeat(now, self._clock.unix()):
            self._log.warning("host={} is down: heartbeat is overdue", host)
        for address in set(self._choose_addresses(now)) - self._exchanging:
            self._exchanging.add(address)
            eventlet.spawn_n(self._exchange, address)

    def query_seed_peers(self):
        """Queries the agents named in the settings (seed peers) and merges their state.

        Returns:
          A list of triples of the address of an agent and the mark and head that it holds.
        """
        pool = eventlet.GreenPool()
        answers = pool.imap(self._query_seed_peer, self._list_seeds())
        return [answer for answer in answers if answer is not None]

    def fetch(self, address, mark, head):
        """Fetches a generation from another agent and offers it.

        Returns:
          the propagation.OfferOutcome.
        """
        accepted = self._state.accepted
        texts = {}
        missing = accepted.list_missing(head)
        while missing:
            call = messages.ShardsCall(missing[:SHARDS_PER_CALL])
            result_type = messages.PackedShardsResult
            result = self._call(address, "packed_shards", call, result_type, SHARDS_TIMEOUT_S)
            if not result.shards:
                break
            texts.update(
                (digest, _packing.decompress_shard(data)) for digest, data in result.shards
            )
            missing = tuple(digest for digest in missing if digest not in texts)
        outcome = accepted.offer(mark, head, texts, propagation.Source.PEER)
        self.handle_offer_outcome(outcome, mark, f"{address[0]}:{address[1]}")
        return outcome

    def handle_offer_outcome(self, outcome, mark, source):
        """Logs an offer's outcome; if it is IN_FORCE, applies and pushes the generation."""
        if outcome is propagation.OfferOutcome.IN_FORCE:
            self._state.apply_configuration()
            self._log.info("generation={} in force, from={}", mark.generation, source)
            eventlet.spawn_n(self.push)
        elif outcome is propagation.OfferOutcome.INVALID:
            problem = self._state.accepted.problems[0]
            self._log.error("rejected generation={} from={}: {}", mark.generation, source, problem)

    def replicate_and_put_in_force(self, mark, source):
        """Pushes the held generation to peers and puts it in force once one of them holds it.

        If no peer is reachable, it is put in force as well, because no peer could then hold a copy.
        """
        is_held = self.push(mark)
        if self._state.accepted.put_in_force(mark):
            self._state.apply_configuration()
            replication = "replicated to a peer" if is_held else "no peer reachable"
            self._log.info(
                "generation={} in force, from={}, {}", mark.generation, source, replication
            )

    def push(self, mark=None, count=PUSH_TARGETS):
        """Sends all updates to some peers immediately.

        Args:
          mark: Return as soon as one peer holds this HeadMark; None waits for all peers.
          count: Number of peers.
        Returns:
          True if a peer holds the mark or a higher one.
        """
        targets = self._list_push_targets(count)
        completed = event.Event()
        pending = [len(targets)]

        def run_push(address):
            answer_mark = self._push_to(address)
            pending[0] -= 1
            is_held = mark is not None and answer_mark is not None
            is_held = is_held and not propagation.is_higher(mark, answer_mark)
            if not completed.ready() and (is_held or not pending[0]):
                completed.send(is_held)

        for address in targets:
            eventlet.spawn_n(run_push, address)
        return completed.wait() if targets else False

    def serve_exchange(self, body, context):
        """Handles the RPC method ``exchange``."""
        message = messages.decode_message(messages.ExchangeMessage, body)
        now = self._clock.monotonic()
        address = self._find_address(message.sender)
        self._handle_message(message, address)
        return messages.encode_message(self._state.make_answer(message, now))

    def close(self):
        """Closes all connections to other agents."""
        for client in self._clients.values():
            client.close()

    def _exchange(self, address):
        try:
            zone = self._find_zone(address)
            digest_message = self._state.make_digest_message(zone, self._clock.monotonic())
            answer = self._send_message(address, digest_message, EXCHANGE_TIMEOUT_S)
            self._addresses[answer.sender] = address
            self._handle_message(answer, address)
            completion = self._state.make_completion(answer, self._clock.monotonic())
            if completion is not None:
                self._handle_message(
                    self._send_message(address, completion, PUSH_TIMEOUT_S), address
                )
        except records.SkylarksillError as error:
            self._log.debug("exchange with {}:{} failed: {}", *address, error)
        finally:
            self._exchanging.discard(address)

    def _handle_message(self, message, address):
        has_new_suspects = self._state.merge_message(message, self._clock.monotonic())
        if has_new_suspects:
            eventlet.spawn_n(self.push)
        if message.head is None or address is None or self.is_joining:
            return
        accepted = self._state.accepted
        head = accepted.apply_head_delta(message.head, message.head_base)
        if head is None or not accepted.is_wanted(message.mark):
            return
        # Several peers may push a generation at the same time; only one supplies its shards.
        if message.mark in self._fetching:
            self._fetching[message.mark].wait()
            return
        self._fetching[message.mark] = event.Event()
        try:
            self.fetch(address, message.mark, head)
        except records.SkylarksillError as error:
            self._log.debug("fetch of shards from {}:{} failed: {}", *address, error)
        finally:
            self._fetching.pop(message.mark).send()

    def _push_to(self, address):
        now = self._clock.monotonic()
        sent = self._state.make_push(now)
        try:
            answer = self._send_message(address, sent, PUSH_TIMEOUT_S)
            self._handle_message(answer, address)
            completion = self._state.make_completion(answer, now)
            if completion is not None and completion.head is not None:
                sent = completion
                answer = self._send_message(address, sent, PUSH_TIMEOUT_S)
            return sent.mark if answer.is_same_mark else answer.mark
        except records.SkylarksillError as error:
            self._log.debug("push to {}:{} failed: {}", *address, error)
            return None

    def _query_seed_peer(self, address):
        message = messages.ExchangeMessage(self._settings.host, self._settings.zone)
        try:
            answer = self._send_message(address, message, EXCHANGE_TIMEOUT_S)
        except records.SkylarksillError as error:
            self._log.debug("query of seed peer {}:{} failed: {}", *address, error)
            return None
        self._addresses[answer.sender] = address
        self._state.merge_message(answer, self._clock.monotonic())
        return address, answer.mark, answer.head

    def _send_message(self, address, message, timeout_s):
        return self._call(address, "exchange", message, messages.ExchangeMessage, timeout_s)

    def _call(self, address, method, message, result_type, timeout_s):
        body = messages.encode_message(message)
        client = self._get_client(address)
        try:
            answer = client.call(method, body, timeout_s)
        except rpc.CallLostError:
            # After a partition, TCP may take a minute to retransmit on an old connection.
            client.close()
            raise
        return messages.decode_message(result_type, answer)

    def _get_client(self, address):
        if address not in self._clients:
            self._clients[address] = self._make_client(address)
        self._clients.move_to_end(address)
        while len(self._clients) > MAX_CLIENTS:
            _, client = self._clients.popitem(last=False)
            client.close()
        return self._clients[address]

    def _list_seeds(self):
        own = (self._settings.address, self._settings.agent_port)
        return [address for address in self._settings.peers if address != own]

    def _choose_addresses(self, now):
        hosts = self._peer_choice.choose_peers(self._state.table, now)
        addresses = [self._find_address(host) for host in hosts]
        addresses = [address for address in addresses if address is not None]
        return addresses if self._state.accepted.in_force else [*addresses, *self._list_seeds()]

    def _list_push_targets(self, count):
        hosts = self._peer_choice.choose_targets(self._state.table, count)
        addresses = [self._find_address(host) for host in hosts]
        return [a for a in addresses if a is not None] or self._list_seeds()[:count]

    def _find_address(self, host):
        in_force = self._state.accepted.in_force
        hosts = in_force.configuration.hosts if in_force else ()
        for other in hosts:
            if other.host_id == host:
                return other.address, other.agent_port
        return self._addresses.get(host)

    def _find_zone(self, address):
        in_force = self._state.accepted.in_force
        hosts = in_force.configuration.hosts if in_force else ()
        for other in hosts:
            if (other.address, other.agent_port) == address:
                return other.zone_id
        return records.ZoneId("")
