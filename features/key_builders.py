"""Builders of keys, hosts with mailboxes, and recorded streams for host_keys.feature."""

import dataclasses
import hashlib

from eventlet.green import socket

from features import host_builders
from skylarksill.host import (
    _peercodec,
    counters,
    envelope,
    eventlog,
    exchange,
    gossip,
    keyring,
    peers,
    poison,
    records,
)

SEPARATOR = ", "


def build_keyring(names):
    """Builds a Keyring with a key for each of the names, which are separated by commas."""
    pairs = [(name, hashlib.sha256(name.encode()).hexdigest()) for name in names.split(SEPARATOR)]
    return keyring.parse_keys(pairs)


@dataclasses.dataclass
class Host:
    """A host without sockets: its table of peers and its mailbox."""

    record: records.HostRecord
    table: peers.PeerTable
    mailbox: envelope.Mailbox

    def make_datagram(self, receiver, now):
        """Returns a datagram with a new heartbeat for a receiver, a HostRecord."""
        self.table.increment_heartbeat(records.HostState.SERVING, now)
        digest = _peercodec.Digest([self.table.own_peer], [], [])
        payload = _peercodec.encode_digest(digest, now)
        return self.mailbox.seal(payload, self.record, receiver.gossip, receiver.incarnation)

    def receive(self, datagram, now):
        """Opens and applies a datagram; returns the Opened."""
        opened = self.mailbox.open(datagram, self.record)
        if opened.payload is not None:
            digest = _peercodec.decode_digest(opened.payload, now)
            exchange.receive_digest(self.table, digest, now)
        return opened

    def find_heartbeat(self, host_id):
        """Returns the last heartbeat that it knows of a host; 0 without one."""
        known = {peer.record.host_id: peer.heartbeat for peer in self.table.list_alive(0.0)}
        return known.get(host_id, 0)


def build_host(name, ring, incarnation=1):
    """Builds a Host with a Keyring."""
    record = dataclasses.replace(
        host_builders.build_host_record(name, incarnation=incarnation), gossip=(name, 81)
    )
    mailbox = envelope.Mailbox(record.gossip, lambda: ring)
    return Host(record, peers.PeerTable(record, 0.0), mailbox)


@dataclasses.dataclass
class LoopbackHost:
    """A host that sends and receives heartbeats over loopback."""

    name: str
    ring: keyring.Keyring
    table: peers.PeerTable
    counts: counters.Counters
    gossip: gossip.Gossip
    poisons: poison.PoisonTable

    def list_alive(self, now):
        """Returns the names of the other hosts that it counts as alive."""
        alive = [peer.record.host_id for peer in self.table.list_alive(now)]
        return [host_id for host_id in alive if host_id != self.name]


def build_loopback_hosts(names, ring, now, make_on_credit=lambda name: None):
    """Builds and starts a LoopbackHost for each name, which know each other's addresses.

    ``make_on_credit`` returns the function for messages about credit by the name of a host.
    """
    addresses = {name: _find_free_address() for name in names}
    return {
        name: start_host(name, addresses, ring, now, int(now * 1000), make_on_credit(name))
        for name in names
    }


def start_host(name, addresses, ring, now, incarnation, on_credit=None):
    """Builds and starts a LoopbackHost; ``addresses`` are those of all hosts by name."""
    record = dataclasses.replace(
        host_builders.build_host_record(name), gossip=addresses[name], incarnation=incarnation
    )
    table = peers.PeerTable(record, now)
    counts = counters.Counters()
    poisons = poison.PoisonTable(name)
    host = LoopbackHost(name, ring, table, counts, None, poisons)
    host.gossip = gossip.Gossip(
        addresses[name],
        list(addresses.values()),
        table,
        poisons,
        eventlog.EventLog(name, len),
        counts,
        lambda: (records.HostState.SERVING, {}, False),
        lambda: host.ring,
        on_credit=on_credit,
    )
    host.gossip.start()
    return host


def _find_free_address():
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as probe:
        probe.bind(("127.0.0.1", 0))
        return probe.getsockname()
