"""Hosts without sockets that tell each other which requests are blocked, in virtual time."""

import dataclasses

from features import host_builders
from skylarksill.host import _peercodec, exchange, peers, poison, records

FINGERPRINT = b"fingerprint"
SEPARATOR = ", "


def split_names(names):
    """Returns the names in a text that separates them by commas."""
    return names.split(SEPARATOR) if names else []


@dataclasses.dataclass
class Host:
    """What a host knows of its peers and of requests that crash upstreams."""

    table: peers.PeerTable
    poisons: poison.PoisonTable

    def crash(self, upstream_id, at, fingerprint=FINGERPRINT):
        """Records that an upstream crashes at a monotonic time while it runs a request."""
        upstream = host_builders.build_upstream(upstream_id)
        self.poisons.record_broken(fingerprint, upstream, at - 0.5, at)
        return self.poisons.record_down(upstream, at + 0.1)

    def ask(self, other, now, late_s=0.0, summary=None):
        """Asks another host for blocks, and tells it those that it lacks.

        Args:
          other: The other Host.
          now: Monotonic time at which the first message is sent.
          late_s: Time that each message takes, in seconds.
          summary: Summary of the own blocks to send, or None for the true one.
        Returns:
          The bytes that the other host has answered, or None.
        """
        own_summary = self.poisons.blocks.summarize(now) if summary is None else summary
        message = exchange.make_introduction(self.table, own_summary)
        sent = _peercodec.encode_digest(message, now)
        answer = other.receive(sent, now + late_s)
        if answer is not None:
            reply = self.receive(answer, now + 2 * late_s)
            if reply is not None:
                assert other.receive(reply, now + 3 * late_s) is None
        return answer

    def receive(self, datagram, now):
        """Applies a datagram; returns the one to answer with, or None."""
        digest = _peercodec.decode_digest(datagram, now)
        if digest.known_blocks is not None:
            self.poisons.merge_blocks(digest.known_blocks, now)
        for crash in digest.crashes:
            self.poisons.record_crash(crash, now)
        reception = exchange.receive_digest(self.table, digest, now)
        reply = exchange.answer_blocks(
            self.table, self.poisons, digest, reception.reply, False, now
        )
        return None if reply is None else _peercodec.encode_digest(reply, now)


def build_host(name):
    """Builds a Host that serves."""
    table = peers.PeerTable(host_builders.build_host_record(name), 0.0)
    table.increment_heartbeat(records.HostState.SERVING, 1.0)
    return Host(table, poison.PoisonTable(name))
