"""State of an agent and the messages that are made from it; no I/O.

A part is a daemon of the same host, such as entry or dispatch, which polls the agent.
"""

import dataclasses
import zlib

from skylarksill import membership, messages, propagation, records

# A daemon that has not polled for this time is removed from the host's parts.
PART_TIMEOUT_S = 2.0
# Ages in a cached view are too low by at most this time.
VIEW_CACHE_LIFETIME_S = 0.25
MAX_SUSPECTS = 4096
# Daemons renew a suspect's expiry with each poll; smaller extensions are not propagated.
MIN_EXPIRY_EXTENSION_S = 1.0
MAX_SHARDS_BYTES = 1_500_000
NO_STORE_AGE_MS = -1


@dataclasses.dataclass(slots=True)
class PartReport:
    """The last report of a daemon of this host."""

    call: messages.ViewCall
    polled_at: float


class AgentState:
    """What an agent knows: peers, configuration, suspects, instances and the host's daemons.

    Args:
      entry: PeerEntry of this agent's host.
      now: Monotonic seconds.

    Attributes:
      table: The PeerTable.
      accepted: The AcceptedConfiguration.
      instances: The newest LeavingInstances.
      parts: Dict of PartReport by name of the daemon.
      life_state: LifecycleState of the host.
      store_answered_at: Time of the store's last answer, or None.
    """

    def __init__(self, entry, now):
        self.table = membership.PeerTable(entry, now)
        self.accepted = propagation.AcceptedConfiguration()
        self.instances = messages.LeavingInstances(0, (), ())
        self.parts = {}
        self.life_state = records.LifecycleState.SERVING
        self.store_answered_at = None
        self._suspects = {}
        self._suspects_check = 0
        self._head_version = 0
        self._cached_view = (None, 0.0, None)

    @property
    def generation(self):
        """The generation in force, or 0 if there is none."""
        in_force = self.accepted.in_force
        return in_force.mark.generation if in_force else records.Generation(0)

    def increment_heartbeat(self, now, unix):
        """Increments the own heartbeat, with the reports of the host's daemons in its entry.

        Removes silent parts and expired suspects, marks overdue peers as down, renews the zone's
        summary if this host is in charge of it and publishes the changes.

        Args:
          now: Monotonic seconds.
          unix: Wall-clock seconds.
        Returns:
          A list of the hosts that were marked as down.
        """
        self._drop_silent_parts(now)
        self._drop_expired_suspects(now)
        parts = tuple(
            messages.ProgramEntry(name, part.call.incarnation, part.call.state)
            for name, part in sorted(self.parts.items())
        )
        loads = [load for part in self.parts.values() for load in part.call.loads]
        self.table.increment_heartbeat(
            now, loads, generation=self.generation, parts=parts, state=self.life_state
        )
        down = self.table.mark_down(now)
        self.table.summarise_zone(now, unix)
        self.table.publish()
        return down

    def apply_configuration(self, near_limit=membership.NEAR_LIMIT):
        """Rebuilds the topology from the configuration that was put in force."""
        configuration = self.accepted.in_force.configuration
        self.table.set_topology(
            membership.build_topology(configuration, self.table.zone, near_limit=near_limit)
        )
        self._head_version = self.table.version

    def record_report(self, call, now):
        """Records the report in a daemon's ViewCall.

        Returns:
          The result of ``merge_suspects``.
        """
        self.parts[call.part] = PartReport(call, now)
        return self.merge_suspects(call.suspects, now)

    def merge_suspects(self, suspects, now):
        """Merges SuspectEntries.

        Returns:
          True if one of them was unknown or has more deaths than known.
        """
        is_new = False
        for suspect in suspects:
            deaths, expiry = self._suspects.get(suspect.fingerprint, (0, 0.0))
            new_expiry = now + suspect.expires_in_ms / 1000
            if suspect.deaths > deaths:
                is_new = True
            elif new_expiry < expiry + MIN_EXPIRY_EXTENSION_S:
                continue
            self._suspects[suspect.fingerprint] = (
                max(deaths, suspect.deaths),
                max(expiry, new_expiry),
            )
            self.table.bump_version()
        if is_new:
            self._limit_suspects()
        return is_new

    def update_instances(self, instances):
        """Replaces the LeavingInstances if their version is higher than the known one."""
        if instances is not None and instances.version > self.instances.version:
            self.instances = instances
            self.table.require_full_views()

    def make_digest_message(self, target_zone, now):
        """Makes the ExchangeMessage that starts an exchange, with a digest of the table."""
        return self._make_message(digest=membership.make_digest(self.table, target_zone))

    def make_push(self, now):
        """Makes an ExchangeMessage with the updates that are too urgent for the next exchange.

        If the other agent's mark is lower, the head is sent with the completion.
        """
        return self._make_message(
            suspects=self._list_suspects(now),
            instances=self.instances,
            delta=membership.make_own_delta(self.table, now),
        )

    def make_answer(self, message, now):
        """Makes the ExchangeMessage that answers another one, with what its sender lacks."""
        delta = None
        if message.digest is not None:
            delta = membership.answer_digest(self.table, message.digest, message.zone, now)
        elif message.delta is not None and message.delta.wanted_records:
            delta = membership.make_delta(self.table, message.delta, message.zone, now)
        return self._make_message(message, delta=delta, **self._find_updates(message, now))

    def make_completion(self, answer, now):
        """Makes the ExchangeMessage with what the sender of an answer lacks, or None."""
        delta = None
        if answer.delta is not None:
            delta = membership.make_delta(self.table, answer.delta, answer.zone, now)
        updates = self._find_updates(answer, now)
        if delta is None and not updates:
            return None
        return self._make_message(answer, delta=delta, **updates)

    def merge_message(self, message, now):
        """Merges the peers, suspects and instances in a message of another agent.

        Returns:
          The result of ``merge_suspects``.
        """
        if message.delta is not None:
            membership.merge_delta(self.table, message.delta, now)
            if self.table.topology is None or self.table.topology.is_small:
                self.table.publish()
        self.update_instances(message.instances)
        return self.merge_suspects(message.suspects, now)

    def encode_view(self, call, now):
        """Answers a daemon's ViewCall with an encoded ViewResult.

        The result is cached, because the daemons of a host poll within VIEW_CACHE_LIFETIME_S of
        each other and mostly from the same version.
        """
        key = (call.version, self.table.version)
        cached_key, made_at, body = self._cached_view
        if key != cached_key or now - made_at > VIEW_CACHE_LIFETIME_S:
            body = messages.encode_message(self.make_view(call, now))
            self._cached_view = (key, now, body)
        return body

    def make_view(self, call, now):
        """Answers a daemon's ViewCall with a ViewResult."""
        version = self.table.version
        if call.version == version:
            return messages.ViewResult(
                version, None, (), (), (), (), (), self.compute_store_age_ms(now)
            )
        is_delta = self.table.full_view_version <= call.version < version
        in_force = self.accepted.in_force
        includes_head = in_force and (not is_delta or call.version < self._head_version)
        peers = self.table.list_views(now, call.version if is_delta else 0)
        return messages.ViewResult(
            version=version,
            head=in_force.head if includes_head else None,
            shards=(),
            peers=self._apply_leaving(peers),
            loads=self.table.list_loads(now),
            suspects=self._list_suspects(now),
            leaving_upstreams=self.instances.leaving_upstreams,
            store_age_ms=self.compute_store_age_ms(now),
            zone_loads=self.table.list_zone_loads(now),
            is_delta=is_delta,
        )

    def make_status(self, now):
        """Makes the StatusResult."""
        in_force = self.accepted.in_force
        return messages.StatusResult(
            host=self.table.host,
            generation=self.generation,
            store_age_ms=self.compute_store_age_ms(now),
            peers=self._apply_leaving(self.table.list_views(now)),
            loads=self.table.list_loads(now),
            upstreams=tuple(u for part in self.parts.values() for u in part.call.upstreams),
            # Without the head, the command line would have to read the store, which may be down.
            head=in_force.head if in_force else None,
        )

    def get_shard_texts(self, digests):
        """Returns pairs of digest and text, as many as fit in MAX_SHARDS_BYTES."""
        shards = self.accepted.list_shards()
        texts = ((digest, shards[digest]) for digest in digests if digest in shards)
        return tuple(_limit_size(texts))

    def get_packed_shards(self, digests):
        """Returns pairs of digest and compressed text, as many as fit in MAX_SHARDS_BYTES."""
        packed = self.accepted.list_shards().packed
        return tuple(_limit_size((d, packed[d]) for d in digests if d in packed))

    def compute_store_age_ms(self, now):
        """Returns milliseconds since the store's last answer, or NO_STORE_AGE_MS without one."""
        if self.store_answered_at is None:
            return NO_STORE_AGE_MS
        return int(1000 * (now - self.store_answered_at))

    def has_leaving_parts(self, now, timeout_s):
        """Returns True if a leaving daemon of this host has polled within ``timeout_s``."""
        return any(
            part.call.state is not records.LifecycleState.SERVING
            and now - part.polled_at < timeout_s
            for part in self.parts.values()
        )

    def _make_message(self, answered=None, **fields):
        mark = self.accepted.mark
        is_same = answered is not None and (
            answered.is_same_mark or (mark is not None and answered.mark == mark)
        )
        return messages.ExchangeMessage(
            sender=self.table.host,
            zone=self.table.zone,
            mark=None if is_same else mark,
            is_same_mark=is_same,
            suspects_check=self._suspects_check,
            instances_version=self.instances.version,
            **fields,
        )

    def _find_updates(self, message, now):
        updates = {}
        is_higher = propagation.is_higher(self.accepted.mark, message.mark)
        if is_higher and not message.is_same_mark:
            updates["head"], updates["head_base"] = self.accepted.make_head_delta(message.mark)
        if message.suspects_check != self._suspects_check and self._suspects:
            updates["suspects"] = self._list_suspects(now)
        if message.instances_version < self.instances.version:
            updates["instances"] = self.instances
        return updates

    def _apply_leaving(self, peers):
        leaving = set(self.instances.leaving_hosts)
        return tuple(_make_leaving(p) if p.entry.host in leaving else p for p in peers)

    def _list_suspects(self, now):
        return tuple(
            messages.SuspectEntry(fingerprint, deaths, max(0, int(1000 * (expiry - now))))
            for fingerprint, (deaths, expiry) in self._suspects.items()
        )

    def _drop_silent_parts(self, now):
        for name in [n for n, p in self.parts.items() if now - p.polled_at > PART_TIMEOUT_S]:
            del self.parts[name]

    def _drop_expired_suspects(self, now):
        for fingerprint in [f for f, (_, expiry) in self._suspects.items() if expiry <= now]:
            del self._suspects[fingerprint]
            self.table.bump_version()
        self._suspects_check = self._compute_suspects_check()

    def _limit_suspects(self):
        while len(self._suspects) > MAX_SUSPECTS:
            del self._suspects[min(self._suspects, key=lambda f: self._suspects[f][1])]
        self._suspects_check = self._compute_suspects_check()

    def _compute_suspects_check(self):
        names = sorted(f"{f}:{deaths}" for f, (deaths, _) in self._suspects.items())
        return zlib.crc32("\n".join(names).encode()) if names else 0


def _limit_size(pairs):
    size = 0
    for digest, data in pairs:
        size += len(data)
        if size > MAX_SHARDS_BYTES:
            return
        yield digest, data


def _make_leaving(peer):
    if peer.entry.state is not records.LifecycleState.SERVING:
        return peer
    entry = dataclasses.replace(peer.entry, state=records.LifecycleState.LEAVING)
    return dataclasses.replace(peer, entry=entry)
