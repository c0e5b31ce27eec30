"""Steps of host_stored_blocks.feature."""

import time

import eventlet
from behave import given, then, when

from features import block_builders, host_builders, host_world
from skylarksill.host import eventlog, poison, storedblocks
from standins import metadatastore

_, _, store_client = host_builders.import_platform()
# Time in which the store has a block once it answers again: pauses between tries grow to this.
WRITE_TIMEOUT_S = 8.0
ENDED = bytes(12)
UNREADABLE = {
    "no name": {"round": 1, "began": 1, "answered": None},
    "aa": None,
    "ab": {"round": 0, "began": 1, "answered": None},
    "ac": {"round": 1, "began": "now", "answered": None},
    "ad": {"round": 1, "began": 1},
    "ae": {"round": 10**9, "began": 1, "answered": -1},
}


class _StoringHost:
    """A host's blocks and its client of the store."""

    def __init__(self, context, ahead_s=0.0):
        log = eventlog.EventLog("test", len)
        client = store_client.PlatformStore(context.store.address, {}, log)
        self.poisons = poison.PoisonTable()
        self._client = client
        self.stored = storedblocks.StoredBlocks(self, self.poisons, log, lambda: 1)
        self._ahead_s = ahead_s
        self.has_read = False
        self._thread = eventlet.spawn(self.stored.run)
        context.add_cleanup(self.stop)

    def stop(self):
        """Ends the host."""
        self._thread.kill()

    def list_blocks(self):
        """Reads as the client does; another clock makes the times of others differ as much."""
        found = [
            storedblocks.StoredBlock(
                item.fingerprint,
                item.round,
                item.began_at - self._ahead_s,
                None if item.answered_at is None else item.answered_at - self._ahead_s,
            )
            for item in self._client.list_blocks()
        ]
        self.has_read = True
        return found

    def write_block(self, block):
        """Writes as the client does."""
        self._client.write_block(block)

    def remove_block(self, fingerprint):
        """Removes as the client does."""
        self._client.remove_block(fingerprint)

    def wait_until_read(self):
        """Waits until the host has read the stored blocks."""
        host_world.wait_until(5.0, lambda: self.has_read)
        eventlet.sleep(0.1)


@given("a store, and a host that has read what is blocked")
def step_store(context):
    context.store = metadatastore.MetadataStore()
    context.add_cleanup(context.store.stop)
    context.host = _StoringHost(context)
    context.host.wait_until_read()
    context.calls = context.store.calls


@when("the host blocks a request for the 1st time")
def step_block(context):
    now = time.monotonic()
    context.blocked_at = now
    for index in range(3):
        at = now - 2.0 + index
        crash = poison.Crash(block_builders.FINGERPRINT, f"u{index}", 1, at)
        is_blocked = context.host.poisons.record_crash(crash, now)
    assert is_blocked
    context.host.stored.save(block_builders.FINGERPRINT)


@when("the host blocks the request for the 2nd time")
def step_block_again(context):
    _wait_until_written(context, 1)
    context.blocked_at = time.monotonic()
    context.host.poisons.blocks.begin(block_builders.FINGERPRINT, context.blocked_at)
    context.host.stored.save(block_builders.FINGERPRINT)


@when("the store answers for {length:g} s as the block is written")
def step_no_trouble(context, length):
    eventlet.sleep(length)


@when("the store answers with 503 for {length:g} s as the block is written")
def step_failing(context, length):
    context.store.failing_status = 503
    eventlet.sleep(length)
    assert context.host.stored._unsaved
    context.store.failing_status = None


@when("the store is silent for {length:g} s as the block is written")
def step_silent(context, length):
    context.store.is_silent = True
    eventlet.sleep(length)
    context.store.is_silent = False


@when("the store is silent for good")
def step_silent_for_good(context):
    context.store.is_silent = True


@when("the request is answered there")
def step_answered(context):
    _wait_until_written(context, 1)
    assert context.host.poisons.record_answer(block_builders.FINGERPRINT, time.monotonic())
    context.host.stored.save(block_builders.FINGERPRINT)
    _wait_until_written(context, 1, is_refuted=True)


def _wait_until_written(context, block_round, is_refuted=False):
    def is_written():
        spec = context.store.read("skylarksill-blocks", block_builders.FINGERPRINT.hex())
        return (
            spec is not None
            and spec["round"] == block_round
            and (spec["answered"] is not None) == is_refuted
        )

    host_world.wait_until(WRITE_TIMEOUT_S, is_written)


@when("the store has blocks that nobody can read, and one that ended long ago")
def step_odd_blocks(context):
    for name, spec in UNREADABLE.items():
        context.store.write("skylarksill-blocks", name, spec)
    ended = {"round": 1, "began": 1_000, "answered": None}
    context.store.write("skylarksill-blocks", ENDED.hex(), ended)


@when("all hosts end, and a host starts whose clock is {ahead:g} s ahead")
def step_all_end(context, ahead):
    block = context.host.poisons.blocks.find(block_builders.FINGERPRINT)
    _wait_until_written(context, block.round, block.is_refuted)
    context.host.stop()
    context.new_host = _StoringHost(context, ahead)
    context.new_host.wait_until_read()


@then(
    "the new host blocks the request for the {ordinal} time, and for as long give or take"
    " {slack:g} s"
)
def step_blocked(context, ordinal, slack):
    block = context.new_host.poisons.blocks.find(block_builders.FINGERPRINT)
    assert block is not None and block.round == int(ordinal[0]), block
    assert abs(block.began_at - context.blocked_at) <= slack, (block, context.blocked_at)
    assert context.new_host.poisons.is_blocked(block_builders.FINGERPRINT, time.monotonic())


@then("the new host does not block the request")
def step_not_blocked(context):
    poisons = context.new_host.poisons
    assert poisons.blocks.find(block_builders.FINGERPRINT).is_refuted
    assert not poisons.is_blocked(block_builders.FINGERPRINT, time.monotonic())


@then("the store has got {count:d} further calls, and {more:d} more as another host starts")
def step_calls(context, count, more):
    _wait_until_written(context, 1)
    eventlet.sleep(0.2)
    # A new object takes one call, a known one two.
    assert context.store.calls - context.calls <= count, context.store.calls - context.calls
    calls = context.store.calls
    _StoringHost(context).wait_until_read()
    assert context.store.calls - calls == more, context.store.calls - calls


@then("it blocks the request at once, and a host that starts runs on")
def step_runs_on(context):
    assert context.host.poisons.is_blocked(block_builders.FINGERPRINT, time.monotonic())
    host = _StoringHost(context)
    started_at = time.monotonic()
    eventlet.sleep(0.3)
    assert time.monotonic() - started_at < 1.0 and not host.has_read
    assert not host.poisons.is_blocked(block_builders.FINGERPRINT, time.monotonic())


@then("the block that ended long ago is gone from the store, and no other")
def step_removed(context):
    names = {block_builders.FINGERPRINT.hex(), *UNREADABLE}
    host_world.wait_until(2.0, lambda: context.store.list_names("skylarksill-blocks") == names)
