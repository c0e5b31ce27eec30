"""Joining and checking successive generations without parsing unchanged shards again."""

import dataclasses

from skylarksill import _configcheck, _configshards, _configtext, _prefixes, records


@dataclasses.dataclass(frozen=True, slots=True)
class _CoreShard:
    """Parsed contents of one core shard."""

    deployment: str
    values: dict
    problems: tuple[records.Problem, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class _BlockShard:
    """Parsed contents of one block shard; both keys are prefix keys, or None if it is empty."""

    blocks: tuple[records.Block, ...]
    zones: frozenset[str]
    first_key: tuple[int, int, int] | None
    last_key: tuple[int, int, int] | None
    problems: tuple[records.Problem, ...]


class ShardReader:
    """Joins and checks successive generations.

    It caches the parsed shards of the last valid generation, so that a small change costs little,
    however many blocks there are.

    Args:
      includes_blocks: False to check client blocks and then discard them, for programs that do not
        use them; the configurations then have none.
    """

    def __init__(self, includes_blocks=True):
        self._includes_blocks = includes_blocks
        self._parsed_shards = {}

    def read(self, head, texts):
        """Joins and checks the shards that a head names.

        Args:
          head: A ConfigurationHead.
          texts: Shard texts by digest. Shards of the last valid generation may be left out.
        Returns:
          A pair of Configuration, or None if there are problems, and a tuple of Problems,
          including those that ``check_configuration`` finds. Blocks must be sorted by address, as
          ``split_shards`` writes them.
        """
        new_shards = [
            (name, digest) for name, digest in head.shards if digest not in self._parsed_shards
        ]
        new_head = dataclasses.replace(head, shards=tuple(new_shards))
        problems = _configshards.find_invalid_shards(new_head, texts)
        if problems:
            return None, tuple(problems)
        parsed_shards = {
            digest: self._parsed_shards.get(digest) or self._parse_shard(name, texts[digest])
            for name, digest in head.shards
        }
        joined, problems = _join_parsed_shards(head, parsed_shards)
        if problems:
            return None, problems
        self._parsed_shards = parsed_shards
        return joined, ()

    def _parse_shard(self, name, text):
        if not _configshards.is_block_shard(name):
            deployment, values, problems = _configtext.parse_core(text, requires_deployment=False)
            return _CoreShard(deployment, values, tuple(problems))
        blocks, problems = _configtext.parse_blocks(text)
        keys, prefix_problems = _parse_block_keys(blocks)
        return _BlockShard(
            blocks if self._includes_blocks else (),
            frozenset(block.zone_id for block in blocks),
            keys[0] if keys else None,
            keys[-1] if keys else None,
            (*problems, *prefix_problems),
        )


def _parse_block_keys(blocks):
    keys = []
    problems = []
    for block in blocks:
        try:
            key = _prefixes.parse_prefix(block.prefix)
        except ValueError as error:
            problems.append(records.Problem("blocks", block.prefix, str(error)))
            continue
        if keys and key <= keys[-1]:
            problems.append(records.Problem("blocks", block.prefix, "is not in order of address"))
        keys.append(key)
        if len(problems) >= _configcheck.MAX_BLOCK_PROBLEMS:
            break
    return keys, problems


def _join_parsed_shards(head, parsed_shards):
    ordered = [(name, parsed_shards[digest]) for name, digest in sorted(head.shards)]
    core = [shard for _, shard in ordered if isinstance(shard, _CoreShard)]
    blocks = [(name, shard) for name, shard in ordered if isinstance(shard, _BlockShard)]
    problems = [problem for _, shard in ordered for problem in shard.problems]
    if problems:
        return None, tuple(problems)
    joined = records.Configuration(
        deployment="".join([shard.deployment for shard in core]),
        generation=head.generation,
        blocks=tuple([block for _, shard in blocks for block in shard.blocks]),
        **{
            kind.field: tuple([record for shard in core for record in shard.values[kind.field]])
            for kind in _configtext.RECORD_KINDS
        },
    )
    problems = _configcheck.check_records(joined) + tuple(_check_block_shards(joined, blocks))
    return (None, problems) if problems else (joined, ())


def _check_block_shards(joined, parsed_shards):
    zones = {zone.zone_id for zone in joined.zones}
    last_key = None
    for name, shard in parsed_shards:
        for zone in sorted(shard.zones - zones):
            yield records.Problem("blocks", name, f"zone {zone} is not configured")
        if last_key is not None and shard.first_key is not None and shard.first_key <= last_key:
            yield records.Problem("blocks", name, "overlaps the shard before it")
        last_key = shard.last_key or last_key
