"""Joining and checking successive generations without reading unchanged shards again."""

import dataclasses

from skylarksill import _configcheck, _configshards, _configtext, _prefixes, records


@dataclasses.dataclass(frozen=True, slots=True)
class _CorePart:
    """What one shard of sections holds."""

    deployment: str
    values: dict
    problems: tuple[records.Problem, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class _BlockPart:
    """What one shard of blocks holds; ``first`` and ``last`` are prefix keys, None if empty."""

    blocks: tuple[records.Block, ...]
    zones: frozenset[str]
    first: tuple[int, int, int] | None
    last: tuple[int, int, int] | None
    problems: tuple[records.Problem, ...]


class ShardReader:
    """Joins and checks generations one after the other.

    It keeps the parts of the last generation that it read, so that a small change costs little,
    however many blocks there are.

    Args:
      has_blocks: False to check client blocks without keeping them, for programs that do not use
        them; the configurations then have none.
    """

    def __init__(self, has_blocks=True):
        self._has_blocks = has_blocks
        self._parts = {}

    def read(self, head, texts):
        """Joins and checks the shards that a head names.

        Args:
          head: A ConfigurationHead.
          texts: Shard texts by digest. Shards of the last generation that was read may be left
            out.
        Returns:
          A pair of Configuration, or None if there are problems, and a tuple of Problems, also
          those that ``check_configuration`` finds. Blocks must be in order of address, as
          ``split_shards`` writes them.
        """
        is_new = [(name, digest) for name, digest in head.shards if digest not in self._parts]
        new_head = dataclasses.replace(head, shards=tuple(is_new))
        problems = _configshards.find_wrong_shards(new_head, texts)
        if problems:
            return None, tuple(problems)
        parts = {
            digest: self._parts.get(digest) or self._read_part(name, texts[digest])
            for name, digest in head.shards
        }
        joined, problems = _join_parts(head, parts)
        if problems:
            return None, problems
        self._parts = parts
        return joined, ()

    def _read_part(self, name, text):
        if not _configshards.is_blocks(name):
            deployment, values, problems = _configtext.parse_core(text, is_whole=False)
            return _CorePart(deployment, values, tuple(problems))
        blocks, problems = _configtext.parse_blocks(text)
        keys, key_problems = _read_keys(blocks)
        return _BlockPart(
            blocks if self._has_blocks else (),
            frozenset(block.zone_id for block in blocks),
            keys[0] if keys else None,
            keys[-1] if keys else None,
            (*problems, *key_problems),
        )


def _read_keys(blocks):
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


def _join_parts(head, parts):
    ordered = [(name, parts[digest]) for name, digest in sorted(head.shards)]
    core = [part for _, part in ordered if isinstance(part, _CorePart)]
    blocks = [(name, part) for name, part in ordered if isinstance(part, _BlockPart)]
    problems = [problem for _, part in ordered for problem in part.problems]
    if problems:
        return None, tuple(problems)
    joined = records.Configuration(
        deployment="".join([part.deployment for part in core]),
        generation=head.generation,
        blocks=tuple([block for _, part in blocks for block in part.blocks]),
        **{
            kind.field: tuple([record for part in core for record in part.values[kind.field]])
            for kind in _configtext.KINDS
        },
    )
    problems = _configcheck.check_records(joined) + tuple(_check_parts(joined, blocks))
    return (None, problems) if problems else (joined, ())


def _check_parts(joined, parts):
    zones = {zone.zone_id for zone in joined.zones}
    last = None
    for name, part in parts:
        for zone in sorted(part.zones - zones):
            yield records.Problem("blocks", name, f"zone {zone} is not configured")
        if last is not None and part.first is not None and part.first <= last:
            yield records.Problem("blocks", name, "overlaps the shard before it")
        last = part.last or last
