"""Look-up: which entry addresses a client should use."""

from skylarksill.host import answers

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


def answer_lookup(request, peers, own, max_lifetime_s, form):
    """Returns the Answer to a client's look-up.

    Args:
      request: The records.Request.
      peers: The serving Peers.
      own: The own HostRecord.
      max_lifetime_s: Longest time for which clients may keep the answer, in seconds.
      form: The records.LookupForm.
    """
    region, zone = form.decode_query(request.target)
    hosts = choose_hosts(peers, own, region, zone)
    body = form.encode_answer([host.entry for host in hosts], min(LIFETIME_S, max_lifetime_s))
    return answers.make_answer(200, body, content_type=form.content_type)
