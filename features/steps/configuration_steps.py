"""Steps of configuration.feature."""

import dataclasses
import random

from behave import given, then, when

from features import builders
from skylarksill import configuration, records


def build_random_blocks(count, seed):
    rng = random.Random(seed)
    numbers = sorted(rng.sample(range(1 << 20), count))
    zones = ("north-a", "north-b", "south-a", "south-b")
    return [
        records.Block(f"{n >> 12}.{n >> 4 & 255}.{(n & 15) << 4}.0/24", rng.choice(zones))
        for n in numbers
    ]


def split(context):
    return configuration.split_shards(context.configuration)


@given("a configuration with {blocks:d} client blocks and {hosts:d} hosts per zone")
def step_large_configuration(context, blocks, hosts):
    base = builders.build_configuration(hosts_per_zone=hosts)
    blocks_with_ipv6 = [*build_random_blocks(blocks, 1), records.Block("2001:db8::/32", "north-b")]
    context.configuration = dataclasses.replace(
        base, blocks=tuple(blocks_with_ipv6 if blocks else ())
    )


@given("a small configuration with shifts north to {target} of {percents} percent")
def step_shifts(context, target, percents):
    shifts = [
        records.Shift(f"s-{index}", "north", target, int(percent))
        for index, percent in enumerate(percents.split())
    ]
    base = builders.build_configuration()
    context.configuration = dataclasses.replace(base, shifts=tuple(shifts))


@given("the text of a small configuration")
def step_text(context):
    context.ini_text = configuration.format_configuration(builders.build_configuration())


@when('"{old}" is replaced by "{new}"')
def step_replace(context, old, new):
    assert old in context.ini_text
    context.ini_text = context.ini_text.replace(old, new, 1)


@when('"{old}" is replaced by ""')
def step_remove(context, old):
    step_replace(context, old, "")


@when("a block goes to a zone")
def step_move_block(context):
    context.before = split(context)
    blocks = list(context.configuration.blocks)
    other = "south-b" if blocks[4500].zone_id != "south-b" else "north-a"
    blocks[4500] = dataclasses.replace(blocks[4500], zone_id=other)
    context.configuration = dataclasses.replace(context.configuration, blocks=tuple(blocks))


@when("a block is added")
def step_add_block(context):
    context.before = split(context)
    blocks = (*context.configuration.blocks, records.Block("100.0.0.128/25", "south-a"))
    context.configuration = dataclasses.replace(context.configuration, blocks=blocks)


@when("a block is removed")
def step_remove_block(context):
    context.before = split(context)
    blocks = context.configuration.blocks
    context.configuration = dataclasses.replace(
        context.configuration, blocks=blocks[:4000] + blocks[4001:]
    )


@when("an upstream is leaving")
def step_leave(context):
    context.before = split(context)
    first, *rest = context.configuration.upstreams
    first = dataclasses.replace(first, state=records.LifecycleState.LEAVING)
    context.configuration = dataclasses.replace(context.configuration, upstreams=(first, *rest))


@when("a shard is {damage}")
def step_damage(context, damage):
    head, texts = split(context)
    digest = head.shards[-1][1]
    match damage:
        case "missing":
            del texts[digest]
        case "changed":
            texts[digest] += "10.99.0.0/16 = north-a\n"
        case "long":
            texts[digest] = "#" * (configuration.MAX_SHARD_BYTES + 1)
    context.head, context.ini_texts = head, texts


@when("the standby of an upstream is a host of another zone of the region")
def step_wrong_standby(context):
    first, *rest = context.configuration.upstreams
    first = dataclasses.replace(first, standby="host-2")
    context.configuration = dataclasses.replace(context.configuration, upstreams=(first, *rest))


@then("text and shards convert back to the same configuration")
def step_same(context):
    text = configuration.format_configuration(context.configuration)
    assert configuration.parse_configuration(text) == (context.configuration, ())
    assert configuration.join_shards(*split(context)) == (context.configuration, ())
    assert configuration.check_configuration(context.configuration) == ()


@then("no shard is longer than 256 KiB")
def step_shard_size(context):
    sizes = [len(text.encode()) for text in split(context)[1].values()]
    assert max(sizes) <= 256 * 1024, sizes


@then("exactly one shard is new")
def step_one_new(context):
    before, after = context.before[1], split(context)[1]
    assert len(before) > 1
    assert len(after.keys() - before.keys()) == 1
    assert len(before.keys() - after.keys()) == 1


@then('joining fails with the reason "{reason}"')
def step_join_fails(context, reason):
    joined, problems = configuration.join_shards(context.head, context.ini_texts)
    assert joined is None
    assert [problem.reason for problem in problems] == [reason]


@then('the text is refused with "{problem}"')
def step_refused(context, problem):
    parsed, problems = configuration.parse_configuration(context.ini_text)
    assert parsed is None
    assert any(str(found).startswith(problem) for found in problems), problems


@then('the check reports "{problem}"')
def step_check(context, problem):
    if "configuration" not in context:
        context.configuration, problems = configuration.parse_configuration(context.ini_text)
        assert not problems, problems
    problems = configuration.check_configuration(context.configuration)
    assert any(problem in str(found) for found in problems), problems


@then("the check reports nothing")
def step_check_nothing(context):
    parsed, _ = configuration.parse_configuration(context.ini_text)
    assert configuration.check_configuration(parsed) == ()


@given('the head text "{text}"')
def step_head_text(context, text):
    context.head_text = text.replace(";", "\n")


@then("the text of its head parses to the same head")
def step_head_text_same(context):
    head = dataclasses.replace(split(context)[0], write_id="w-1")
    assert configuration.parse_head(configuration.format_head(head)) == (head, ())


@then('the head is refused with "{problem}"')
def step_head_refused(context, problem):
    head, problems = configuration.parse_head(context.head_text)
    assert head is None
    assert str(problems[0]).startswith(problem), problems


def replace_shard(head, texts, name, text):
    """Replaces or adds a shard."""
    digest = configuration.compute_digest(text)
    shards = {**dict(head.shards), name: digest}
    return dataclasses.replace(head, shards=tuple(shards.items())), {**texts, digest: text}


def change_shard(context, kind, change):
    head, texts = split(context)
    name, digest = next(pair for pair in head.shards if pair[0].startswith(kind))
    return replace_shard(head, texts, name, change(texts[digest]))


@when("a reader has read it")
def step_reader(context):
    context.reader = configuration.ShardReader()
    assert context.reader.read(*split(context)) == (context.configuration, ())


@when('its shards are changed: {kind} "{old}" becomes "{new}"')
def step_change_shard(context, kind, old, new):
    context.head, context.texts = change_shard(
        context, kind, lambda text: text.replace(old, new, 1)
    )


@when("its shards are changed: {kind} a line stands twice")
def step_repeat_line(context, kind):
    context.head, context.texts = change_shard(
        context, kind, lambda text: text + text.splitlines(keepends=True)[-1]
    )


@when("a second shard repeats one of its blocks")
def step_overlap(context):
    head, texts = split(context)
    line = next(text for text in texts.values() if "[" not in text).splitlines()[0]
    context.head, context.texts = replace_shard(head, texts, "blocks-4-ff", line + "\n")
    context.reader = configuration.ShardReader()


@then("the reader needs one new text to get the same configuration as a full join")
def step_reader_same(context):
    before = context.before[1]
    head, texts = split(context)
    new = {digest: text for digest, text in texts.items() if digest not in before}
    assert len(new) == 1
    joined = configuration.join_shards(head, texts)
    assert context.reader.read(head, new) == joined and not joined[1]


@then("the reader and the full check refuse them")
def step_both_refuse(context):
    joined, problems = configuration.join_shards(context.head, context.texts)
    assert problems or configuration.check_configuration(joined)
    joined, problems = context.reader.read(context.head, context.texts)
    assert joined is None and problems


@then("a reader without blocks drops them, but refuses an unknown zone in them")
def step_reader_without(context):
    reader = configuration.ShardReader(includes_blocks=False)
    expected = dataclasses.replace(context.configuration, blocks=())
    assert reader.read(*split(context)) == (expected, ())
    head, texts = change_shard(context, "blocks", lambda text: text.replace("north-a", "west"))
    joined, problems = reader.read(head, texts)
    assert joined is None and "west is not configured" in problems[0].reason, problems


@then('the reader refuses it with "{reason}"')
def step_reader_refuses(context, reason):
    joined, problems = context.reader.read(context.head, context.texts)
    assert joined is None and problems[0].reason == reason, problems
