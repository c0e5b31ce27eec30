"""Exchange of heartbeats between hosts by datagrams."""

import time

import eventlet
from eventlet.green import socket

from skylarksill.host import _peercodec, peers

RECEIVE_PAUSE_S = 0.25


class Gossip:
    """Sends and receives heartbeats.

    Args:
      address: Own IP address and port.
      seeds: Addresses to try while no peer is known.
      table: The PeerTable.
      poisons: The PoisonTable.
      log: The EventLog.
      describe_own: Function that returns the own HostState, dict of spill share by service, and
        whether the store is lost.
    """

    def __init__(self, address, seeds, table, poisons, log, describe_own):
        self._address = address
        self._seeds = [seed for seed in seeds if seed != address]
        self._table = table
        self._poisons = poisons
        self._log = log
        self._describe_own = describe_own
        self._socket = None

    def start(self):
        """Starts sending in rounds and receiving."""
        self._socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self._socket.bind(self._address)
        eventlet.spawn_n(self._receive)
        eventlet.spawn_n(self._send_rounds)

    def send(self):
        """Sends a heartbeat to some peers at once, for example after a change of state."""
        if self._socket is None:
            return
        now = time.monotonic()
        state, spill_shares, is_store_lost = self._describe_own()
        self._table.beat(state, now, spill_shares, is_store_lost)
        whole, beats = self._table.make_digest(now)
        digest = _peercodec.Digest(whole, beats, self._poisons.list_news(now))
        datagram = _peercodec.encode_digest(digest, now)
        for address in self._table.choose_targets(now) or self._seeds:
            try:
                self._socket.sendto(datagram, address)
            except OSError as error:
                self._log.write("peer.send_failed", peer=str(address), error=str(error))

    def _send_rounds(self):
        while True:
            eventlet.sleep(peers.ROUND_S)
            self.send()

    def _receive(self):
        while True:
            try:
                datagram, address = self._socket.recvfrom(_peercodec.MAX_DATAGRAM_BYTES)
                now = time.monotonic()
                digest = _peercodec.decode_digest(datagram, now)
            except _peercodec.CodecError as error:
                self._log.write("peer.malformed", peer=str(address), error=str(error))
                continue
            except OSError as error:
                self._log.write("peer.receive_failed", error=str(error))
                eventlet.sleep(RECEIVE_PAUSE_S)
                continue
            self._take(digest, now)

    def _take(self, digest, now):
        for crash in digest.crashes:
            if self._poisons.note_crash(crash, now):
                self._log.write("request.blocked", fingerprint=crash.fingerprint.hex())
        alive = [peer.record.host_id for peer in digest.peers if self._table.merge(peer, now)]
        alive += [beat.host_id for beat in digest.beats if self._table.merge_beat(beat, now)]
        for host_id in alive:
            self._log.write("peer.alive", peer=host_id)
