"""Fake store and agents that drive publication and acceptance of the configuration."""

import dataclasses
import functools

from bench import _deployment, _upstream, _world
from skylarksill import (
    clock,
    configuration,
    messages,
    objectstore,
    propagation,
    publication,
    records,
)

POLL_S = 0.5
EXCHANGE_S = 1.0
CALL_S = 0.4
PASS_ON_S = 0.5
PUBLISH_AT_S = (1.0, 6.0)
END_S = 20.0
REACH_S = 5.0
SAMPLE_S = 0.05
HOSTS_PER_ZONE = 2


class FakeStore:
    """Objects with versions and conditional updates; its faults are attributes."""

    def __init__(self):
        self.objects = {}
        self.is_down = False
        self.lost_replies = 0
        self.before_put = None

    def get(self, key):
        """Returns the pair of version and value of an object."""
        self._check_up()
        if key not in self.objects:
            raise objectstore.MissingError(key)
        return self.objects[key]

    def put(self, key, value, expected_version):
        """Writes an object if it has the expected version."""
        self._check_up()
        if self.before_put and key == configuration.HEAD_KEY:
            action, self.before_put = self.before_put, None
            action()
        version = self.objects.get(key, (objectstore.MUST_NOT_EXIST, b""))[0]
        if version != expected_version:
            raise objectstore.ConflictError(key, version)
        self.objects[key] = (version + 1, value)
        if self.lost_replies and key == configuration.HEAD_KEY:
            self.lost_replies -= 1
            raise objectstore.StoreError(records.Verdict.MAY_HAVE_RUN, "the reply was lost")
        return version + 1

    def _check_up(self):
        if self.is_down:
            raise objectstore.StoreError(records.Verdict.NOT_RUN, "the store is down")


class AgentNode(_world.Node):
    """An agent; the first of each zone reads the store, all exchange with their peers."""

    def __init__(self, world, store, host, number):
        self.host = host.host_id
        self.number = number
        self._store = store
        super().__init__(world, host.host_id, host.zone_id)

    def reset(self):
        """Starts without a configuration."""
        self.accepted = propagation.AcceptedConfiguration()
        if self.number % HOSTS_PER_ZONE == 0:
            self.after(0.0, self._poll)
        self.after(0.1, self._exchange)

    def is_steady(self):
        """Tells whether the agent was neither killed nor paused until now."""
        return self.is_alive and self.starts == 1 and not self.paused_until

    def handle(self, envelope, answer):
        """Answers a peer and takes what the peer holds."""
        if envelope.kind == "shards":
            known = self.accepted.list_shards()
            answer({digest: known[digest] for digest in envelope.body if digest in known})
            return
        self._hear(envelope.source, envelope.body)
        answer(self._describe())

    def _describe(self):
        newest = self.accepted.newest
        return (newest.mark, newest.head) if newest else None

    def _poll(self):
        self.after(POLL_S, self._poll)
        try:
            version, value = self._store.get(configuration.HEAD_KEY)
            head, problems = configuration.parse_head(value.decode())
            mark = messages.HeadMark(head.generation, version, head.write_id)
            if problems or not self.accepted.is_wanted(mark):
                return
            texts = {
                digest: self._store.get(configuration.SHARD_PREFIX + digest)[1].decode()
                for _, digest in head.shards
            }
        except objectstore.StoreError:
            return
        offer = self.accepted.offer(mark, head, texts, propagation.Source.STORE)
        if offer is propagation.OfferOutcome.HELD:
            self._pass_on(mark)

    def _pass_on(self, mark):
        def then(result):
            if not isinstance(result, _world.Lost):
                self.accepted.put_in_force(mark)

        for peer in self._list_peers():
            self.call(peer, "exchange", self._describe(), CALL_S, then)
        self.after(PASS_ON_S, lambda: self.accepted.put_in_force(mark))

    def _exchange(self):
        def then(peer, result):
            if not isinstance(result, _world.Lost):
                self._hear(peer, result)

        peers = self._list_peers()
        for peer in self.world.random.sample(peers, min(3, len(peers))):
            self.call(peer, "exchange", self._describe(), CALL_S, functools.partial(then, peer))
        self.after(EXCHANGE_S, self._exchange)

    def _hear(self, peer, described):
        if described is None or not self.accepted.is_wanted(described[0]):
            return
        mark, head = described

        def then(texts):
            if isinstance(texts, dict):
                self.accepted.offer(mark, head, texts, propagation.Source.PEER)

        missing = self.accepted.list_missing(head)
        self.call(peer, "shards", missing, CALL_S, then)

    def _list_peers(self):
        return [
            node.name
            for node in self.world.nodes.values()
            if isinstance(node, AgentNode) and node is not self
        ]


class ConfigurationDeployment:
    """Agents of all hosts, the store and operators; it has the attributes that faults use."""

    def __init__(self, seed):
        self.world = _world.World(seed)
        self.ledger = self.world.ledger = _upstream.Ledger()
        self.store = FakeStore()
        self.plain = _deployment.build_configuration(hosts_per_zone=HOSTS_PER_ZONE)
        self.dispatchers = [
            AgentNode(self.world, self.store, host, number)
            for number, host in enumerate(self.plain.hosts)
        ]
        self.entries = self.upstreams = ()
        self.kinds = ("exchange", "shards")
        self.has_struck = False
        self.two_operators = False
        self.published = []
        self.violations = []
        self._in_force = {}
        self._contents = {}

    def publish(self, deployment, write_id):
        """Publishes a change, as the ``apply`` command does, and notes its outcome."""
        try:
            base = publication.read_published(self.store)
        except objectstore.StoreError:
            return
        if self.two_operators:
            self.store.before_put = lambda: self._publish_from(base, "other", f"{write_id}-other")
        self._publish_from(base, deployment, write_id)

    def _publish_from(self, base, deployment, write_id):
        changed = dataclasses.replace(self.plain, deployment=deployment)
        try:
            head = publication.publish_configuration(
                self.store, base, changed, write_id, clock.FakeClock()
            )
        except records.SkylarksillError:
            return
        self.published.append(head)
        steady = [node for node in self.dispatchers if node.is_steady()]
        check = functools.partial(self._check_reached, head.generation, steady)
        self.world.schedule(REACH_S, check)

    def _check_reached(self, generation, steady):
        if self.world.had_cuts:
            return
        for node in steady:
            in_force = node.accepted.in_force
            if node.is_steady() and (not in_force or in_force.head.generation < generation):
                self.violations.append(f"generation {generation} is not in force at {node.name}")

    def sample(self):
        """Checks that no host reverts and that a generation has one content."""
        for node in self.dispatchers:
            generation = node.accepted.in_force
            if not node.is_alive or generation is None:
                continue
            number = generation.head.generation
            if number < self._in_force.get(node.name, 0):
                self.violations.append(f"{node.name} reverted to generation {number}")
            self._in_force[node.name] = number
            write_id = self._contents.setdefault(number, generation.head.write_id)
            if write_id != generation.head.write_id:
                self.violations.append(f"generation {number} is in force with two contents")
        self.world.schedule(SAMPLE_S, self.sample)


def run_configuration(fault, step, seed=0):
    """Publishes two generations one after the other while a fault strikes.

    Returns:
      The ConfigurationDeployment at the end.
    """
    deployment = ConfigurationDeployment(seed)
    deployment.publish("first", "w-0")
    deployment.world.run(deployment.world.now + 3.0)
    deployment.started = deployment.world.now
    deployment.sent_before = len(deployment.world.sent)
    fault.install(deployment, step)
    deployment.sample()
    for number, seconds in enumerate(PUBLISH_AT_S, start=1):
        publish = functools.partial(deployment.publish, f"change-{number}", f"w-{number}")
        deployment.world.schedule(seconds, publish)
    deployment.world.run(deployment.started + END_S)
    return deployment


def judge_configuration(deployment):
    """Finds reverted generations, accepted ones that did not arrive and lost updates."""
    violations = list(deployment.violations)
    generations = [head.generation for head in deployment.published]
    if len(set(generations)) != len(generations):
        violations.append(f"two operators were both told that {generations} are in force")
    newest = max(generations)
    for node in deployment.dispatchers:
        in_force = node.accepted.in_force
        number = in_force.head.generation if in_force else 0
        if node.is_alive and number < newest:
            violations.append(f"{node.name} has generation {number} instead of {newest}")
    return violations
