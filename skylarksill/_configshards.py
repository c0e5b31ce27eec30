"""Splitting a configuration into shards and joining them.

Sections are cut into shards ``core`` (and ``core-NNN`` past 64 KiB) and blocks into ``blocks-F-X``,
where F is 4 or 6 and X the first address of the shard's range in hexadecimal without trailing
zeros. Each cut depends only on what is near it, so that a change of one record changes one shard,
which alone has to be fetched by the hosts. Shards are in order when sorted by name.
"""

import bisect
import dataclasses
import hashlib
import zlib

from skylarksill import _configtext, _prefixes, records

MAX_SHARD_BYTES = 256 * 1024
# With at most 111 bytes per line (43 for an IPv6 prefix, 64 for a zone) a shard of 2,048 lines has
# at most 222 KiB. Heads grow with the number of shards and are sent with each change as well.
MAX_BLOCKS_PER_SHARD = 2048
MAX_SINGLE_CORE_BYTES = 64 * 1024
# A section whose name hashes to zero ends a shard; one in 64 does, for about 12 KiB per shard.
SECTIONS_PER_CORE_SHARD = 64
BLOCKS_PREFIX = "blocks-"


def compute_digest(text):
    """Returns the SHA-256 digest of a shard's text in hexadecimal."""
    return hashlib.sha256(text.encode()).hexdigest()


def split_shards(configuration):
    """Splits a configuration into shards.

    Args:
      configuration: A Configuration that passes ``check_configuration``.
    Returns:
      A pair of a ConfigurationHead with an empty write id, which the caller replaces, and a dict
      of shard texts by digest. The generation stands in the head only.
    Raises:
      ValueError: If a section is longer than a shard, or a block has no valid prefix.
    """
    texts = _split_core(configuration) + _split_blocks(configuration.blocks)
    named = [(name, compute_digest(text), text) for name, text in texts]
    head = records.ConfigurationHead(
        configuration.generation, "", tuple((name, digest) for name, digest, _ in named)
    )
    return head, {digest: text for _, digest, text in named}


def join_shards(head, texts):
    """Joins the shards that a head names.

    Args:
      head: A ConfigurationHead.
      texts: Shard texts by digest; other texts are ignored.
    Returns:
      A pair of Configuration, or None if there are problems, and a tuple of Problems. Blocks are
      in order of address.
    """
    problems = find_wrong_shards(head, texts)
    if problems:
        return None, tuple(problems)
    shards = sorted(head.shards)
    core = "".join([texts[digest] for name, digest in shards if not is_blocks(name)])
    deployment, values, problems = _configtext.parse_core(core)
    blocks = []
    for name, digest in shards:
        if is_blocks(name):
            more_blocks, more_problems = _configtext.parse_blocks(texts[digest])
            blocks += more_blocks
            problems += more_problems
    if problems:
        return None, tuple(problems)
    return records.Configuration(deployment, head.generation, blocks=tuple(blocks), **values), ()


def select_core(head):
    """Returns the head without the shards of client blocks."""
    shards = tuple(pair for pair in head.shards if not is_blocks(pair[0]))
    return dataclasses.replace(head, shards=shards)


def is_blocks(name):
    """Says whether a shard of this name holds client blocks."""
    return name.startswith(BLOCKS_PREFIX)


def find_wrong_shards(head, texts):
    """Finds shards of a head that are missing, too long or do not match their digest."""
    problems = []
    for name, digest in head.shards:
        text = texts.get(digest)
        if text is None:
            problems.append(records.Problem(name, digest, "shard is missing"))
        elif len(text) > MAX_SHARD_BYTES:
            problems.append(records.Problem(name, digest, "shard is too long"))
        elif compute_digest(text) != digest:
            problems.append(records.Problem(name, digest, "text does not match the digest"))
    return problems


def _split_core(configuration):
    sections = _configtext.format_sections(configuration)
    head = f"[deployment]\nname = {configuration.deployment}\n"
    whole = head + "".join([text for _, text in sections])
    if len(whole.encode()) <= MAX_SINGLE_CORE_BYTES:
        return [("core", whole)]
    cuts = _cut_sections(head, sections)
    return [(f"core-{index:03}" if index else "core", text) for index, text in enumerate(cuts)]


def _cut_sections(head, sections):
    shards = []
    parts = [head]
    size = len(head.encode())
    for name, text in sections:
        length = len(text.encode())
        if length > MAX_SHARD_BYTES:
            raise ValueError(f"section [{name}] of {length} bytes is longer than a shard")
        if size + length > MAX_SHARD_BYTES:
            shards.append("".join(parts))
            parts, size = [], 0
        parts.append(text)
        size += length
        if zlib.crc32(name.encode()) % SECTIONS_PER_CORE_SHARD == 0:
            shards.append("".join(parts))
            parts, size = [], 0
    return [*shards, "".join(parts)] if parts else shards


def _split_blocks(blocks):
    keyed = sorted([(_prefixes.parse_prefix(block.prefix), block) for block in blocks], key=_key)
    keys = [key for key, _ in keyed]
    lines = [block for _, block in keyed]
    cuts = []
    for bits in (32, 128):
        start = bisect.bisect_left(keys, (bits, 0, 0))
        end = bisect.bisect_left(keys, (bits + 1, 0, 0))
        _cut_range(keys, start, end, bits, 0, bits, cuts)
    return [
        (_name_blocks(bits, address), _configtext.format_blocks(lines[start:end]))
        for bits, address, start, end in cuts
    ]


def _name_blocks(bits, address):
    digits = f"{address:0{bits // 4}x}".rstrip("0")
    return f"{BLOCKS_PREFIX}{4 if bits == 32 else 6}-{digits or '0'}"


def _key(item):
    return item[0]


def _cut_range(keys, start, end, bits, first_address, free_bits, cuts):
    """Halves a range of addresses until each part has few enough blocks.

    The parts depend on addresses only, so that adding, removing or changing a block changes the
    part that holds it and no other.
    """
    if start == end:
        return
    if end - start <= MAX_BLOCKS_PER_SHARD or not free_bits:
        cuts.append((bits, first_address, start, end))
        return
    middle_address = first_address + (1 << (free_bits - 1))
    middle = bisect.bisect_left(keys, (bits, middle_address, 0), start, end)
    _cut_range(keys, start, middle, bits, first_address, free_bits - 1, cuts)
    _cut_range(keys, middle, end, bits, middle_address, free_bits - 1, cuts)
