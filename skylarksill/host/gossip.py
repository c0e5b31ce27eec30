"""Gossip between hosts: exchanges heartbeats and crash reports in UDP datagrams."""

import time

import eventlet
from eventlet.green import socket

from skylarksill.host import _peercodec, exchange, peers

RECEIVE_RETRY_S = 0.25


class Gossip:
    """Sends and receives digests of heartbeats and crashes.

    Args:
      address: IP address and port of this host.
      seeds: Addresses to send to while no peer is known.
      table: The PeerTable.
      poisons: The PoisonTable.
      log: The EventLog.
      describe_own: Function that returns this host's HostState, its dict of spill shares by
        service, and whether the store is lost.
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
        """Starts receiving, and sending at regular intervals."""
        self._socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self._socket.bind(self._address)
        eventlet.spawn_n(self._receive)
        eventlet.spawn_n(self._send_rounds)

    def send(self):
        """Sends a digest with a new heartbeat to some peers; also called after a state change."""
        if self._socket is None:
            return
        now = time.monotonic()
        state, spill_shares, is_store_lost = self._describe_own()
        self._table.increment_heartbeat(state, now, spill_shares, is_store_lost)
        crashes = self._poisons.list_recent_crashes(now)
        for digest, addresses in exchange.make_messages(self._table, crashes, self._seeds, now):
            self._send_datagram(_peercodec.encode_digest(digest, now), addresses)

    def _send_datagram(self, datagram, addresses):
        for address in addresses:
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
            # Datagrams that arrive without a pause must not keep the processor to themselves.
            eventlet.sleep(0)
            try:
                datagram, address = self._socket.recvfrom(_peercodec.MAX_DATAGRAM_BYTES)
                now = time.monotonic()
                digest = _peercodec.decode_digest(datagram, now)
            except _peercodec.CodecError as error:
                self._log.write("peer.malformed", peer=str(address), error=str(error))
                continue
            except OSError as error:
                self._log.write("peer.receive_failed", error=str(error))
                eventlet.sleep(RECEIVE_RETRY_S)
                continue
            self._apply_digest(digest, address, now)

    def _apply_digest(self, digest, address, now):
        for crash in digest.crashes:
            if self._poisons.record_crash(crash, now):
                self._log.write("request.blocked", fingerprint=crash.fingerprint.hex())
        reception = exchange.receive_digest(self._table, digest, now)
        for host_id in reception.newly_alive:
            self._log.write("peer.alive", peer=host_id)
        if reception.reply is not None:
            self._send_datagram(_peercodec.encode_digest(reception.reply, now), [address])
