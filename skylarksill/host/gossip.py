"""Gossip between hosts: exchanges heartbeats, crash reports and blocks in UDP datagrams.

The socket also carries messages about the credit of accounts.
"""

import time

import eventlet
from eventlet.green import socket

from skylarksill.host import (
    _peercodec,
    blocks,
    briefing,
    creditcodec,
    envelope,
    exchange,
    peers,
    restarts,
    supervision,
)

RECEIVE_RETRY_S = 0.25
# Datagrams that are not authentic are counted, and at most one line is logged in this time.
REJECTION_LOG_INTERVAL_S = 1.0


class Gossip:
    """Sends and receives digests of heartbeats and crashes.

    Args:
      address: IP address and port of this host.
      seeds: Addresses to send to while no peer is known.
      table: The PeerTable.
      poisons: The PoisonTable.
      log: The EventLog.
      counters: The Counters.
      describe_own: Function that returns this host's HostState, its dict of spill shares by
        service, and whether the store is lost.
      get_keyring: Function that returns the current keyring.Keyring.
      reports: The restarts.RestartReports.
      on_restart: Function of a RestartReport of a peer that is news.
      on_credit: Function of an envelope.Sender, a payload about credit and the sender's address;
        it may raise a creditcodec.CreditCodecError.
      on_informed: Function that is called once the briefing is over because peers have answered.

    Attributes:
      briefing: The briefing.Briefing of this host.
    """

    def __init__(
        self,
        address,
        seeds,
        table,
        poisons,
        log,
        counters,
        describe_own,
        get_keyring,
        reports=None,
        on_restart=None,
        on_credit=None,
        on_informed=None,
    ):
        self._address = address
        self._seeds = [seed for seed in seeds if seed != address]
        self.briefing = briefing.Briefing(self._seeds, time.monotonic())
        self._table = table
        self._poisons = poisons
        self._log = log
        self._counters = counters
        self._describe_own = describe_own
        self._reports = reports or restarts.RestartReports()
        self._on_restart = on_restart
        self._on_credit = on_credit
        self._on_informed = on_informed
        self._mailbox = envelope.Mailbox(address, get_keyring)
        self._socket = None
        self._threads = []
        self._rejection_logged_at = float("-inf")

    def start(self):
        """Starts receiving, and sending at regular intervals."""
        self._socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self._socket.bind(self._address)
        self._threads = [
            supervision.spawn_lasting(self._log, "gossip.receive", self._receive),
            supervision.spawn_repeated(self._log, "gossip.send", peers.ROUND_S, self.send),
        ]
        # This host waits for what its peers know.
        supervision.attempt(self._log, "gossip.send", self.send)

    def stop(self):
        """Stops receiving and sending."""
        for thread in self._threads:
            thread.kill()
        self._socket.close()
        self._socket = None

    def send(self):
        """Sends a digest with a new heartbeat to some peers; also called after a state change."""
        if self._socket is None:
            return
        now = time.monotonic()
        state, spill_shares, is_store_lost = self._describe_own()
        self._table.increment_heartbeat(state, now, spill_shares, is_store_lost)
        crashes = self._poisons.list_recent_crashes(now)
        reports = self._reports.list_recent(now)
        messages = exchange.make_messages(
            self._table,
            crashes,
            self._seeds,
            now,
            restarts=reports,
            block_summary=self._summarize_blocks(now),
        )
        for digest, addresses in messages:
            payload = _peercodec.encode_digest(digest, now)
            for address in addresses:
                self._send_datagram(payload, address, self._table.find_incarnation(address))

    def send_payload(self, payload, address):
        """Sends bytes that are no digest to the host with a gossip address."""
        if self._socket is not None:
            self._send_datagram(payload, address, self._table.find_incarnation(address))

    def _send_datagram(self, payload, address, incarnation):
        datagram = self._mailbox.seal(payload, self._table.own, address, incarnation)
        try:
            self._socket.sendto(datagram, address)
        except OSError as error:
            self._log.write("peer.send_failed", peer=str(address), error=str(error))

    def _receive(self):
        while True:
            # Datagrams that arrive without a pause must not keep the processor to themselves.
            eventlet.sleep(0)
            try:
                datagram, address = self._socket.recvfrom(_peercodec.MAX_DATAGRAM_BYTES)
                self._handle_datagram(datagram, address, time.monotonic())
            except (
                _peercodec.CodecError,
                creditcodec.CreditCodecError,
                envelope.EnvelopeError,
            ) as error:
                self._reject(address, error)
            except OSError as error:
                self._log.write("peer.receive_failed", error=str(error))
                eventlet.sleep(RECEIVE_RETRY_S)

    def _handle_datagram(self, datagram, address, now):
        opened = self._mailbox.open(datagram, self._table.own)
        if opened.payload is None:
            # The sender knows a process of this host that started before its clock was set back.
            self._table.supersede(opened.receiver)
            summary = blocks.UNINFORMED if self.briefing.is_asking(now) else None
            reply = exchange.make_introduction(self._table, summary)
        elif self._on_credit is not None and creditcodec.is_credit(opened.payload):
            self._on_credit(opened.sender, opened.payload, address)
            reply = None
        else:
            digest = _peercodec.decode_digest(opened.payload, now)
            reply = self._apply_digest(digest, opened.sender, address, now)
        if reply is not None:
            payload = _peercodec.encode_digest(reply, now)
            self._send_datagram(payload, address, opened.sender.incarnation)

    def _apply_digest(self, digest, sender, address, now):
        """Applies a digest; returns the Digest to answer with, or None."""
        if digest.known_blocks is not None:
            self._apply_blocks(digest, sender, address, now)
        for crash in digest.crashes:
            if self._poisons.record_crash(crash, now):
                self._log.write("request.blocked", fingerprint=crash.fingerprint.hex())
        for report in digest.restart_reports:
            if self._reports.add(report) and self._on_restart is not None:
                self._on_restart(report)
        reception = exchange.receive_digest(self._table, digest, now)
        for host_id in reception.newly_alive:
            self._log.write("peer.alive", peer=host_id)
        is_asking = self.briefing.is_asking(now)
        return exchange.answer_blocks(
            self._table, self._poisons, digest, reception.reply, is_asking, now
        )

    def _apply_blocks(self, digest, sender, address, now):
        """Applies the blocks that a peer has told."""
        for block in self._poisons.merge_blocks(digest.known_blocks, now):
            event = "request.unblocked" if block.is_refuted else "request.blocked"
            fingerprint = block.fingerprint.hex()
            self._log.write(event, fingerprint=fingerprint, round=block.round, peer=sender.host_id)
        states = [peer.state for peer in digest.peers if peer.record.host_id == sender.host_id]
        was_over = self.briefing.is_over(now)
        self.briefing.record_answer(address, states[0] if states else None)
        if not was_over and self.briefing.is_over(now) and self._on_informed is not None:
            self._on_informed()

    def _summarize_blocks(self, now):
        if self.briefing.is_asking(now):
            return blocks.UNINFORMED
        return self._poisons.blocks.summarize(now)

    def _reject(self, address, error):
        """Counts a datagram that is malformed or not authentic."""
        self._counters.count("peer_rejections", "datagram")
        now = time.monotonic()
        if now - self._rejection_logged_at >= REJECTION_LOG_INTERVAL_S:
            self._rejection_logged_at = now
            self._log.write("peer.rejected", peer=str(address), error=str(error))
