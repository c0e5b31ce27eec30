"""Look-up: which entry addresses a client should use."""

import json
import urllib.parse

from skylarksill.host import forwarder

MAX_ADDRESSES = 64
# Clients keep an answer for its lifetime and some three times as long, so a short one moves them
# off a dead host sooner, at the price of more look-ups.
LIFETIME_S = 2.0


def choose_hosts(peers, own, region, zone):
    """Chooses the hosts that a client should use: those of its region, else all.

    Args:
      peers: The serving Peers.
      own: The own HostRecord, used if no peer serves.
      region: Region that the client states, or None.
      zone: Availability zone that the client states, or None.
    Returns:
      A list of HostRecord, those of the client's zone first.
    """
    hosts = [peer.record for peer in peers] or [own]
    near = [host for host in hosts if host.region == region] or hosts
    return sorted(near, key=lambda host: (host.zone != zone, host.host_id))[:MAX_ADDRESSES]


def answer_lookup(request, peers, own, max_lifetime_s):
    """Returns the Answer to a client's look-up."""
    query = urllib.parse.parse_qs(request.target.partition(b"?")[2].decode("latin-1"))
    region = query.get("region", [None])[0]
    zone = query.get("zone", [None])[0]
    hosts = choose_hosts(peers, own, region, zone)
    lifetime_s = min(LIFETIME_S, max_lifetime_s)
    body = {
        "addresses": [f"{host.entry[0]}:{host.entry[1]}" for host in hosts],
        "ttl": f"{int(lifetime_s * 1000)}ms",
    }
    return make_json_answer(200, body)


def make_json_answer(status, body):
    """Returns an Answer with a JSON body."""
    answer = forwarder.make_answer(status, json.dumps(body).encode())
    return type(answer)(status, b"", ((b"content-type", b"application/json"),), answer.body)
