"""Streams between hosts on which sources send changes of their belief to followers.

A source is a host that watches the store; the others follow the sources chosen for their region.
A follower asks by long polling, and its source answers with the changes that it lacks. Requests are
sealed for their source and answers for the nonce of their request, so neither can be forged, and an
answer can't be repeated.
"""

import contextlib
import os
import time

import eventlet
from eventlet import event
from eventlet.green import socket

from skylarksill.host import (
    _beliefcodec,
    _boundedsends,
    _fairreads,
    keyring,
    relay,
    supervision,
)

# Longest time that a source waits for a change before it answers that there is none.
LONG_POLL_S = 0.7
# A source that has not answered for this long no longer counts as keeping its followers current.
# With one call to the store they are then current again within the 2.5 s that upstreams have to
# drain.
SOURCE_TIMEOUT_S = 1.5
CONNECT_TIMEOUT_S = 0.6
ANSWER_TIMEOUT_S = 1.5
# Followers send the next request right after each answer; one that does not has disconnected
# without closing its stream.
FOLLOWER_TIMEOUT_S = 3.0
# Age of an encoded update up to which it is sent again: it tells how old the configuration is, and
# for how long upstreams are kept.
MAX_ENCODED_AGE_S = 0.2
FIRST_RETRY_S = 0.2
MAX_RETRY_S = 2.0
# Interval at which a follower checks which hosts are its sources.
SOURCE_CHECK_INTERVAL_S = 0.5
# The kernel resets a connection whose bytes stay unacknowledged for this long.
USER_TIMEOUT_MS = 2_000
LISTEN_BACKLOG = 256
# Streams that have not proven yet that a host has opened them; of more, the oldest is ended. Hosts
# send their first message with the connection.
MAX_UNPROVEN_STREAMS = 256
# Receive buffer that the kernel is asked for, for each stream; requests take some hundred bytes.
RECEIVE_BUFFER_BYTES = 4_096
REQUEST_PURPOSE = "belief request"
UPDATE_PURPOSE = "belief update"


class BeliefServer:
    """Answers followers as soon as this host's belief has changes that they lack.

    Args:
      address: IP address and port to listen on.
      belief: The belief.Belief.
      log: The EventLog.
      is_store_lost: Function that returns True while the store can't be reached.
      get_keyring: Function that returns the current keyring.Keyring.
    """

    def __init__(self, address, belief, log, is_store_lost, get_keyring):
        self._belief = belief
        self._log = log
        self._is_store_lost = is_store_lost
        self._get_keyring = get_keyring
        self._encoded = (None, b"")
        self._changed = event.Event()
        self._socket = eventlet.listen(address, backlog=LISTEN_BACKLOG)
        self._socket.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
        # Clients of streams without an authentic message, the oldest first.
        self._unproven = {}
        self._thread = None

    @property
    def address(self):
        """IP address and port that the server listens on."""
        return self._socket.getsockname()[:2]

    def start(self):
        """Starts accepting followers."""
        self._thread = supervision.spawn_lasting(self._log, "relay.accept", self._accept)

    def stop(self):
        """Refuses new followers."""
        self._thread.kill()
        self._socket.close()

    def wake_followers(self):
        """Wakes waiting followers: belief changed, or the store was lost or regained."""
        changed, self._changed = self._changed, event.Event()
        changed.send()

    def _accept(self):
        while True:
            try:
                client, address = self._socket.accept()
            except OSError as error:
                self._log.write("relay.accept_failed", error=str(error))
                eventlet.sleep(FIRST_RETRY_S)
                continue
            self._unproven[client] = address
            if len(self._unproven) > MAX_UNPROVEN_STREAMS:
                self._end_oldest()
            supervision.spawn(self._log, "relay.serve", self._serve, client, address)

    def _end_oldest(self):
        """Ends the stream that has been without an authentic message for longest."""
        client = next(iter(self._unproven))
        address = self._unproven.pop(client)
        self._log.write("relay.unproven_ended", peer=str(address))
        # One that can't be shut down has ended already.
        with contextlib.suppress(OSError):
            client.shutdown(socket.SHUT_RDWR)

    def _serve(self, client, address):
        try:
            _set_options(client)
            reader = _fairreads.FairReader(client)
            while True:
                deadline = time.monotonic() + FOLLOWER_TIMEOUT_S
                message = _read_message(reader, _beliefcodec.MAX_REQUEST_BYTES, deadline)
                context = (REQUEST_PURPOSE, *self.address)
                payload = keyring.unseal(self._get_keyring(), context, message)
                request = _beliefcodec.decode_request(payload)
                self._unproven.pop(client, None)
                if self._belief.sequence == request.sequence:
                    self._wait_for_change(min(request.wait_s, LONG_POLL_S))
                payload = self._encode_update(request.sequence, request.generation)
                context = (UPDATE_PURPOSE, request.nonce)
                sealed = keyring.seal(self._get_keyring(), context, payload)
                deadline = time.monotonic() + ANSWER_TIMEOUT_S
                _boundedsends.send_all(client, _beliefcodec.frame(sealed), deadline)
        except EOFError:
            # The follower has closed the stream.
            return
        except (OSError, _beliefcodec.CodecError, keyring.SealError) as error:
            self._log.write("relay.follower_lost", peer=str(address), error=str(error))
        finally:
            self._unproven.pop(client, None)
            client.close()

    def _encode_update(self, sequence, generation):
        """Returns the encoded update for a follower; most followers lack the same changes."""
        is_store_lost = self._is_store_lost()
        revisions = tuple(self._belief.revisions.values())
        now = time.monotonic()
        encoded_at = int(now / MAX_ENCODED_AGE_S)
        key = (self._belief.sequence, revisions, sequence, generation, is_store_lost, encoded_at)
        if self._encoded[0] != key:
            update = relay.make_update(self._belief, sequence, generation, is_store_lost, now)
            self._encoded = (key, _beliefcodec.encode_update(update))
        return self._encoded[1]

    def _wait_for_change(self, wait_s):
        with eventlet.Timeout(wait_s, False):
            self._changed.wait()


class _SourceStream:
    """The stream from one source.

    Args:
      record: HostRecord of the source.
      apply_update: Function that applies a BeliefUpdate to this host's belief; its other arguments
        are the relay.StreamPosition, the host that the update comes from, and the monotonic time
        at which it was asked for.
      find_generation: Function that returns the generation of this host's configuration.
      log: The EventLog.
      get_keyring: Function that returns the current keyring.Keyring.
    """

    def __init__(self, record, apply_update, find_generation, log, get_keyring):
        self.record = record
        self.is_wanted = True
        self._apply_update = apply_update
        self._find_generation = find_generation
        self._log = log
        self._get_keyring = get_keyring
        self._current_at = float("-inf")
        self._failures = 0

    def is_current(self, now):
        """Returns True if the source answered recently and its belief is complete and current."""
        return now - self._current_at < SOURCE_TIMEOUT_S

    def run(self):
        """Follows the source until it is no longer wanted."""
        while self.is_wanted:
            try:
                self._follow()
            except (OSError, EOFError, _beliefcodec.CodecError, keyring.SealError) as error:
                self._failures += 1
                if self._failures == 1:
                    self._log.write("relay.lost", peer=self.record.host_id, error=str(error))
            eventlet.sleep(min(MAX_RETRY_S, FIRST_RETRY_S * 2 ** min(self._failures, 8)))

    def _follow(self):
        source = socket.create_connection(self.record.gossip, CONNECT_TIMEOUT_S)
        try:
            _set_options(source)
            reader = _fairreads.FairReader(source)
            position = relay.StreamPosition()
            is_first = True
            while self.is_wanted:
                request = _beliefcodec.Request(
                    position.sequence,
                    self._find_generation(),
                    LONG_POLL_S,
                    os.urandom(_beliefcodec.NONCE_BYTES),
                )
                asked_at = time.monotonic()
                update = self._exchange(source, reader, request)
                self._record_answer(update, is_first)
                is_first = False
                self._apply_update(update, position, self.record.host_id, asked_at)
        finally:
            source.close()

    def _exchange(self, source, reader, request):
        """Sends a request on the stream; returns the BeliefUpdate that answers it."""
        context = (REQUEST_PURPOSE, *self.record.gossip)
        payload = _beliefcodec.encode_request(request)
        sealed = keyring.seal(self._get_keyring(), context, payload)
        deadline = time.monotonic() + ANSWER_TIMEOUT_S
        _boundedsends.send_all(source, _beliefcodec.frame(sealed), deadline)
        message = _read_message(reader, _beliefcodec.MAX_MESSAGE_BYTES, deadline)
        context = (UPDATE_PURPOSE, request.nonce)
        payload = keyring.unseal(self._get_keyring(), context, message)
        return _beliefcodec.decode_update(payload)

    def _record_answer(self, update, is_first):
        is_current = update.is_complete and not update.is_store_lost
        self._current_at = time.monotonic() if is_current else float("-inf")
        if is_first:
            self._failures = 0
            peer = self.record.host_id
            self._log.write("relay.following", peer=peer, is_store_lost=update.is_store_lost)


class BeliefFollower:
    """Keeps streams to the sources of this host's region and applies their updates.

    Args:
      own: HostRecord of this host.
      table: The PeerTable.
      belief: The belief.Belief.
      log: The EventLog.
      handle_changes: Function of a tuple of belief.Change and the id of the host that they come
        from, which is called after each update with changes.
      is_store_lost: Function that returns True while the store can't be reached.
      get_keyring: Function that returns the current keyring.Keyring.
    """

    def __init__(self, own, table, belief, log, handle_changes, is_store_lost, get_keyring):
        self._own = own
        self._table = table
        self._belief = belief
        self._log = log
        self._handle_changes = handle_changes
        self._is_store_lost = is_store_lost
        self._get_keyring = get_keyring
        self._streams = {}

    def has_current_source(self):
        """Returns True if a source keeps this host's belief current."""
        now = time.monotonic()
        return any(stream.is_current(now) for stream in self._streams.values())

    def start(self):
        """Starts following the sources, which are chosen again at each interval."""
        supervision.attempt(self._log, "relay.sources", self._choose_sources)
        supervision.spawn_repeated(
            self._log, "relay.sources", SOURCE_CHECK_INTERVAL_S, self._choose_sources
        )

    def _choose_sources(self):
        serving = self._table.list_serving(time.monotonic())
        sources = relay.choose_sources(serving, self._own.region)
        wanted = {source.gossip: source for source in sources}
        if self._own.gossip in wanted and not self._is_store_lost():
            # This host is a source itself and watches the store.
            wanted = {}
        wanted.pop(self._own.gossip, None)
        for address in [item for item in self._streams if item not in wanted]:
            self._streams.pop(address).is_wanted = False
        for address, record in wanted.items():
            if address not in self._streams:
                stream = _SourceStream(
                    record,
                    self._apply_update,
                    self._find_generation,
                    self._log,
                    self._get_keyring,
                )
                self._streams[address] = stream
                supervision.spawn_lasting(self._log, "relay.follow", stream.run)

    def _find_generation(self):
        configuration = self._belief.configuration
        return configuration.generation if configuration else 0

    def _apply_update(self, update, position, source, asked_at):
        now = time.monotonic()
        relay.record_store_answer(self._belief, update, asked_at, now)
        takes_upstreams = position.advance(self._belief, update)
        changes = relay.apply_update(self._belief, update, now, takes_upstreams)
        if changes:
            self._handle_changes(changes, source)


def _set_options(stream):
    stream.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    stream.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MS)


def _read_message(reader, limit, deadline):
    """Returns the payload of the next message, which must be complete by a monotonic time."""
    header = reader.read_exactly(_beliefcodec.HEADER_BYTES, deadline)
    return reader.read_exactly(_beliefcodec.parse_length(header, limit), deadline)
