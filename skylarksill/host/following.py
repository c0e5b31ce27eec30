"""Streams between hosts on which followers learn what their sources believe."""

import time

import eventlet
from eventlet import event
from eventlet.green import socket

from skylarksill.host import _beliefcodec, relay

# Longest wait of a source before it answers that nothing has changed.
WAIT_S = 0.7
# A source that has answered nothing for this long covers its followers no longer. With one call of
# the store they are then current again within the 2.5 s that upstreams are given to drain.
COVER_S = 1.5
CONNECT_TIMEOUT_S = 0.6
ANSWER_TIMEOUT_S = 1.5
# Followers ask again at once after each answer; one that does not has gone without closing its
# stream.
FOLLOWER_TIMEOUT_S = 3.0
FIRST_PAUSE_S = 0.2
MAX_PAUSE_S = 2.0
# Pause between looks at which hosts are the sources.
CHOOSE_S = 0.5
# Unacknowledged bytes reset the connection after this time.
USER_TIMEOUT_MS = 2_000
LISTEN_BACKLOG = 256


class BeliefServer:
    """Answers followers as soon as this host's belief differs from theirs.

    Args:
      address: IP address and port to listen on.
      belief: The belief.Belief.
      log: The EventLog.
      is_store_lost: Function that returns True while the store can't be reached.
    """

    def __init__(self, address, belief, log, is_store_lost):
        self._belief = belief
        self._log = log
        self._is_store_lost = is_store_lost
        self._changed = event.Event()
        self._socket = eventlet.listen(address, backlog=LISTEN_BACKLOG)
        self._thread = None

    @property
    def address(self):
        """IP address and port that the server listens on."""
        return self._socket.getsockname()[:2]

    def start(self):
        """Starts accepting followers."""
        self._thread = eventlet.spawn(self._accept)

    def stop(self):
        """Refuses new followers."""
        self._thread.kill()
        self._socket.close()

    def note_change(self):
        """Wakes the followers that wait: belief has changed, or the store is lost or regained."""
        changed, self._changed = self._changed, event.Event()
        changed.send()

    def _accept(self):
        while True:
            try:
                client, address = self._socket.accept()
            except OSError as error:
                self._log.write("relay.accept_failed", error=str(error))
                eventlet.sleep(FIRST_PAUSE_S)
                continue
            eventlet.spawn_n(self._serve, client, address)

    def _serve(self, client, address):
        try:
            _set_options(client)
            while True:
                client.settimeout(FOLLOWER_TIMEOUT_S)
                payload = _read_message(client, _beliefcodec.MAX_REQUEST_BYTES)
                sequence, generation, wait_s = _beliefcodec.decode_request(payload)
                if self._belief.sequence == sequence:
                    self._wait_for_change(min(wait_s, WAIT_S))
                update = relay.make_update(
                    self._belief, sequence, generation, self._is_store_lost()
                )
                client.settimeout(ANSWER_TIMEOUT_S)
                client.sendall(_beliefcodec.encode_update(update))
        except EOFError:
            # The follower has closed the stream.
            return
        except (OSError, _beliefcodec.CodecError) as error:
            self._log.write("relay.follower_lost", peer=str(address), error=str(error))
        finally:
            client.close()

    def _wait_for_change(self, wait_s):
        with eventlet.Timeout(wait_s, False):
            self._changed.wait()


class _Link:
    """The stream from one source.

    Args:
      record: HostRecord of the source.
      take: Function of a BeliefUpdate.
      find_generation: Function that returns the generation of the own configuration.
      log: The EventLog.
    """

    def __init__(self, record, take, find_generation, log):
        self.record = record
        self.is_wanted = True
        self._take = take
        self._find_generation = find_generation
        self._log = log
        self._covered_at = float("-inf")
        self._failures = 0

    def covers(self, now):
        """Returns True if the source has lately answered and reaches the store."""
        return now - self._covered_at < COVER_S

    def run(self):
        """Follows the source until it is no longer wanted."""
        while self.is_wanted:
            try:
                self._follow()
            except (OSError, EOFError, _beliefcodec.CodecError) as error:
                self._failures += 1
                if self._failures == 1:
                    self._log.write("relay.lost", peer=self.record.host_id, error=str(error))
            eventlet.sleep(min(MAX_PAUSE_S, FIRST_PAUSE_S * 2 ** min(self._failures, 8)))

    def _follow(self):
        source = socket.create_connection(self.record.gossip, CONNECT_TIMEOUT_S)
        try:
            _set_options(source)
            source.settimeout(ANSWER_TIMEOUT_S)
            sequence = relay.UNKNOWN_SEQUENCE
            while self.is_wanted:
                generation = self._find_generation()
                source.sendall(_beliefcodec.encode_request(sequence, generation, WAIT_S))
                payload = _read_message(source, _beliefcodec.MAX_MESSAGE_BYTES)
                update = _beliefcodec.decode_update(payload)
                self._note_answer(update, sequence)
                self._take(update)
                sequence = update.sequence
        finally:
            source.close()

    def _note_answer(self, update, sequence):
        is_current = update.is_complete and not update.is_store_lost
        self._covered_at = time.monotonic() if is_current else float("-inf")
        if sequence == relay.UNKNOWN_SEQUENCE:
            self._failures = 0
            peer = self.record.host_id
            self._log.write("relay.following", peer=peer, is_store_lost=update.is_store_lost)


class Following:
    """Follows the sources of this host's region.

    Args:
      own: The own HostRecord.
      table: The PeerTable.
      belief: The belief.Belief.
      log: The EventLog.
      take_changes: Function of a tuple of belief.Change; called after each update that has some.
      is_store_lost: Function that returns True while the store can't be reached.
    """

    def __init__(self, own, table, belief, log, take_changes, is_store_lost):
        self._own = own
        self._table = table
        self._belief = belief
        self._log = log
        self._take_changes = take_changes
        self._is_store_lost = is_store_lost
        self._links = {}

    def is_covered(self):
        """Returns True if a source keeps this host's belief current."""
        now = time.monotonic()
        return any(link.covers(now) for link in self._links.values())

    def start(self):
        """Starts following."""
        eventlet.spawn_n(self._choose)

    def _choose(self):
        while True:
            self._update_links()
            eventlet.sleep(CHOOSE_S)

    def _update_links(self):
        serving = self._table.list_serving(time.monotonic())
        sources = relay.choose_sources(serving, self._own.region)
        wanted = {source.gossip: source for source in sources}
        if self._own.gossip in wanted and not self._is_store_lost():
            # This host is a source: it watches the store itself.
            wanted = {}
        wanted.pop(self._own.gossip, None)
        for address in [item for item in self._links if item not in wanted]:
            self._links.pop(address).is_wanted = False
        for address, record in wanted.items():
            if address not in self._links:
                link = _Link(record, self._take, self._find_generation, self._log)
                self._links[address] = link
                eventlet.spawn_n(link.run)

    def _find_generation(self):
        configuration = self._belief.configuration
        return configuration.generation if configuration else 0

    def _take(self, update):
        changes = relay.apply_update(self._belief, update, time.monotonic())
        if changes:
            self._take_changes(changes)


def _set_options(stream):
    stream.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    stream.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MS)


def _read_message(stream, limit):
    header = _read_exactly(stream, _beliefcodec.HEADER_BYTES)
    return _read_exactly(stream, _beliefcodec.parse_length(header, limit))


def _read_exactly(stream, size):
    """Returns ``size`` bytes; raises EOFError at the end of the stream."""
    data = bytearray()
    while len(data) < size:
        received = stream.recv(size - len(data))
        if not received:
            raise EOFError(f"stream ended after {len(data)} of {size} bytes")
        data += received
    return bytes(data)
