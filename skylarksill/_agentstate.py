"""State of an agent and the messages that it makes of it; no I/O."""

import dataclasses
import zlib

from skylarksill import membership, messages, propagation, records

# A daemon that has not polled for this long is no longer a part of the host.
PART_TIMEOUT_S = 2.0
# Ages in a view are too low by at most this time.
VIEW_CACHE_S = 0.25
MAX_SUSPECTS = 4096
# Daemons renew a suspect's expiry with each poll; smaller steps are not passed on.
EXPIRY_STEP_S = 1.0
MAX_SHARDS_BYTES = 1_500_000
NO_STORE_AGE_MS = -1


@dataclasses.dataclass(slots=True)
class Part:
    """The last report of a daemon of this host."""

    call: messages.ViewCall
    polled_at: float


class AgentState:
    """What an agent knows: peers, configuration, suspects, instances and the host's daemons.

    Args:
      entry: The own PeerEntry.
      now: Monotonic seconds.

    Attributes:
      table: The PeerTable.
      accepted: The AcceptedConfiguration.
      instances: The newest Instances.
      parts: Dict of Part by name.
      life: LifeState of the host.
      store_answered_at: Time of the store's last answer, or None.
    """

    def __init__(self, entry, now):
        self.table = membership.PeerTable(entry, now)
        self.accepted = propagation.AcceptedConfiguration()
        self.instances = messages.Instances(0, (), ())
        self.parts = {}
        self.life = records.LifeState.SERVING
        self.store_answered_at = None
        self._suspects = {}
        self._suspects_check = 0
        self._head_version = 0
        self._encoded_view = (None, 0.0, None)

    @property
    def generation(self):
        """The generation in force, 0 for none."""
        in_force = self.accepted.in_force
        return in_force.mark.generation if in_force else records.Generation(0)

    def beat(self, now, unix):
        """Raises the own heartbeat with the reports of the host's daemons.

        Args:
          now: Monotonic seconds.
          unix: Wall-clock seconds.
        Returns:
          A list of the hosts that are now down.
        """
        self._drop_silent_parts(now)
        self._drop_old_suspects(now)
        parts = tuple(
            messages.PartEntry(name, part.call.incarnation, part.call.state)
            for name, part in sorted(self.parts.items())
        )
        loads = [load for part in self.parts.values() for load in part.call.loads]
        self.table.beat(now, loads, generation=self.generation, parts=parts, state=self.life)
        down = self.table.mark_down(now)
        self.table.summarise_zone(now, unix)
        self.table.publish()
        return down

    def note_configuration(self, near_limit=membership.NEAR_LIMIT):
        """Takes over the names of the configuration that is in force now."""
        joined = self.accepted.in_force.configuration
        self.table.set_topology(
            membership.build_topology(joined, self.table.zone, near_limit=near_limit)
        )
        self._head_version = self.table.version

    def take_report(self, call, now):
        """Takes over a daemon's ViewCall.

        Returns:
          True if it names suspects that are new here.
        """
        self.parts[call.part] = Part(call, now)
        return self.take_suspects(call.suspects, now)

    def take_suspects(self, suspects, now):
        """Merges SuspectEntries.

        Returns:
          True if one of them was new or had more deaths than known.
        """
        is_new = False
        for suspect in suspects:
            deaths, expiry = self._suspects.get(suspect.fingerprint, (0, 0.0))
            later = now + suspect.expires_in_ms / 1000
            if suspect.deaths > deaths:
                is_new = True
            elif later < expiry + EXPIRY_STEP_S:
                continue
            self._suspects[suspect.fingerprint] = (max(deaths, suspect.deaths), max(expiry, later))
            self.table.bump_version()
        if is_new:
            self._bound_suspects()
        return is_new

    def take_instances(self, instances):
        """Takes over Instances if their version is higher than the known one."""
        if instances is not None and instances.version > self.instances.version:
            self.instances = instances
            self.table.require_full_views()

    def make_question(self, target_zone, now):
        """Makes the ExchangeMessage that opens an exchange."""
        return self._make_message(digest=membership.make_digest(self.table, target_zone))

    def make_push(self, now):
        """Makes an ExchangeMessage with all news that cannot wait for the next exchange.

        The head follows with the completion, if the other agent's mark is lower.
        """
        return self._make_message(
            suspects=self._list_suspects(now),
            instances=self.instances,
            delta=membership.make_own_delta(self.table, now),
        )

    def make_answer(self, message, now):
        """Makes the ExchangeMessage that answers another one."""
        delta = None
        if message.digest is not None:
            delta = membership.answer_digest(self.table, message.digest, message.zone, now)
        elif message.delta is not None and message.delta.wanted_records:
            delta = membership.make_delta(self.table, message.delta, message.zone, now)
        return self._make_message(message, delta=delta, **self._find_news(message, now))

    def make_completion(self, answer, now):
        """Makes the ExchangeMessage that gives what an answer lacks, or None if nothing."""
        delta = None
        if answer.delta is not None:
            delta = membership.make_delta(self.table, answer.delta, answer.zone, now)
        news = self._find_news(answer, now)
        if delta is None and not news:
            return None
        return self._make_message(answer, delta=delta, **news)

    def take_message(self, message, now):
        """Takes over peers, suspects and instances of another agent.

        Returns:
          True if it names suspects that are new here.
        """
        if message.delta is not None:
            membership.merge_delta(self.table, message.delta, now)
            if self.table.topology is None or self.table.topology.is_small:
                self.table.publish()
        self.take_instances(message.instances)
        return self.take_suspects(message.suspects, now)

    def encode_view(self, call, now):
        """Answers a daemon's ViewCall with an encoded ViewResult.

        The daemons of a host poll within VIEW_CACHE_S of each other, mostly from the same version.
        """
        key = (call.version, self.table.version)
        cached_key, made_at, body = self._encoded_view
        if key != cached_key or now - made_at > VIEW_CACHE_S:
            body = messages.encode_message(self.make_view(call, now))
            self._encoded_view = (key, now, body)
        return body

    def make_view(self, call, now):
        """Answers a daemon's ViewCall with a ViewResult."""
        version = self.table.version
        if call.version == version:
            return messages.ViewResult(version, None, (), (), (), (), (), self.age_store(now))
        is_delta = self.table.full_view_version <= call.version < version
        in_force = self.accepted.in_force
        has_news = in_force and (not is_delta or call.version < self._head_version)
        peers = self.table.list_views(now, call.version if is_delta else 0)
        return messages.ViewResult(
            version=version,
            head=in_force.head if has_news else None,
            shards=(),
            peers=self._mark_leaving(peers),
            loads=self.table.list_loads(now),
            suspects=self._list_suspects(now),
            leaving_upstreams=self.instances.leaving_upstreams,
            store_age_ms=self.age_store(now),
            zone_loads=self.table.list_zone_loads(now),
            is_delta=is_delta,
        )

    def make_status(self, now):
        """Makes the StatusResult."""
        in_force = self.accepted.in_force
        return messages.StatusResult(
            host=self.table.host,
            generation=self.generation,
            store_age_ms=self.age_store(now),
            peers=self._mark_leaving(self.table.list_views(now)),
            loads=self.table.list_loads(now),
            upstreams=tuple(u for part in self.parts.values() for u in part.call.upstreams),
            # Without the head the command line would have to ask the store, which may be down.
            head=in_force.head if in_force else None,
        )

    def pick_shards(self, digests):
        """Returns pairs of digest and text, as many as fit an answer."""
        shards = self.accepted.list_shards()
        texts = ((digest, shards[digest]) for digest in digests if digest in shards)
        return tuple(_take_fitting(texts))

    def pack_shards(self, digests):
        """Returns pairs of digest and compressed text, as many as fit an answer."""
        packed = self.accepted.list_shards().packed
        return tuple(_take_fitting((d, packed[d]) for d in digests if d in packed))

    def age_store(self, now):
        """Returns milliseconds since the store's last answer, or NO_STORE_AGE_MS."""
        if self.store_answered_at is None:
            return NO_STORE_AGE_MS
        return int(1000 * (now - self.store_answered_at))

    def has_leaving_parts(self, now, timeout_s):
        """Says whether a leaving daemon of this host has polled within ``timeout_s``."""
        return any(
            part.call.state is not records.LifeState.SERVING and now - part.polled_at < timeout_s
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

    def _find_news(self, message, now):
        news = {}
        is_higher = propagation.is_higher(self.accepted.mark, message.mark)
        if is_higher and not message.is_same_mark:
            news["head"], news["head_base"] = self.accepted.make_head_delta(message.mark)
        if message.suspects_check != self._suspects_check and self._suspects:
            news["suspects"] = self._list_suspects(now)
        if message.instances_version < self.instances.version:
            news["instances"] = self.instances
        return news

    def _mark_leaving(self, peers):
        leaving = set(self.instances.leaving_hosts)
        return tuple(_set_leaving(p) if p.entry.host in leaving else p for p in peers)

    def _list_suspects(self, now):
        return tuple(
            messages.SuspectEntry(fingerprint, deaths, max(0, int(1000 * (expiry - now))))
            for fingerprint, (deaths, expiry) in self._suspects.items()
        )

    def _drop_silent_parts(self, now):
        for name in [n for n, p in self.parts.items() if now - p.polled_at > PART_TIMEOUT_S]:
            del self.parts[name]

    def _drop_old_suspects(self, now):
        for fingerprint in [f for f, (_, expiry) in self._suspects.items() if expiry <= now]:
            del self._suspects[fingerprint]
            self.table.bump_version()
        self._suspects_check = self._compute_suspects_check()

    def _bound_suspects(self):
        while len(self._suspects) > MAX_SUSPECTS:
            del self._suspects[min(self._suspects, key=lambda f: self._suspects[f][1])]
        self._suspects_check = self._compute_suspects_check()

    def _compute_suspects_check(self):
        names = sorted(f"{f}:{deaths}" for f, (deaths, _) in self._suspects.items())
        return zlib.crc32("\n".join(names).encode()) if names else 0


def _take_fitting(pairs):
    size = 0
    for digest, data in pairs:
        size += len(data)
        if size > MAX_SHARDS_BYTES:
            return
        yield digest, data


def _set_leaving(peer):
    if peer.entry.state is not records.LifeState.SERVING:
        return peer
    entry = dataclasses.replace(peer.entry, state=records.LifeState.LEAVING)
    return dataclasses.replace(peer, entry=entry)
