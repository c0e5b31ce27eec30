"""Lookup: tells clients the entry addresses of the hosts that they should use."""

from skylarksill.host import answers

MAX_ADDRESSES = 64
# Clients use an answer for its lifetime, and some use it for three times as long. A short lifetime
# moves them away from a dead host sooner, at the price of more lookups.
LIFETIME_S = 2.0


def choose_hosts(peers, own, region, zone):
    """Chooses the hosts that a client should use: those of its region, or all if it has none.

    Args:
      peers: The serving Peers.
      own: HostRecord of this host, used if no peer is serving.
      region: Region in the client's query, or None.
      zone: Availability zone in the client's query, or None.
    Returns:
      A list of at most MAX_ADDRESSES HostRecords, those of the client's zone first.
    """
    hosts = [peer.record for peer in peers] or [own]
    regional_hosts = [host for host in hosts if host.region == region] or hosts
    return sorted(regional_hosts, key=lambda host: (host.zone != zone, host.host_id))[
        :MAX_ADDRESSES
    ]


def answer_lookup(request, peers, own, max_lifetime_s, lookup_codec):
    """Returns the Answer to a client's lookup.

    Args:
      request: The records.Request.
      peers: The serving Peers.
      own: HostRecord of this host.
      max_lifetime_s: Longest time for which clients may cache the answer, in seconds.
      lookup_codec: The records.LookupCodec.
    """
    region, zone = lookup_codec.decode_query(request.target)
    hosts = choose_hosts(peers, own, region, zone)
    body = lookup_codec.encode_answer(
        [host.entry for host in hosts], min(LIFETIME_S, max_lifetime_s)
    )
    return answers.make_answer(200, body, content_type=lookup_codec.content_type)
