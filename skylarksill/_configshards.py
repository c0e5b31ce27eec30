"""Splitting a configuration into shards and joining them.

Sections go into the shard ``core`` (with ``core-NNN`` past 64 KiB) and blocks into ``blocks-F-X``,
where F is 4 or 6 and X the first address of the shard's range in hexadecimal without trailing
zeros. Each split point depends only on nearby records, so a change of one record changes one shard
and hosts fetch no other. Sorting shards by name gives their order.
"""

import bisect
import dataclasses
import hashlib
import zlib

from skylarksill import _configtext, _prefixes, records

MAX_SHARD_BYTES = 256 * 1024
# With at most 111 bytes per line (43 for an IPv6 prefix, 64 for a zone) a shard of 2,048 lines has
# at most 222 KiB. Smaller shards would make the head longer, which is sent with each change too.
MAX_BLOCKS_PER_SHARD = 2048
MAX_UNSPLIT_CORE_BYTES = 64 * 1024
# A section whose name hashes to 0 modulo this ends a shard, which gives about 12 KiB per shard.
SECTIONS_PER_CORE_SHARD = 64
BLOCK_SHARD_PREFIX = "blocks-"


def compute_digest(text):
    """Returns the SHA-256 digest of a shard's text in hexadecimal."""
    return hashlib.sha256(text.encode()).hexdigest()


def split_shards(configuration):
    """Splits a configuration into shards.

    Args:
      configuration: A Configuration that passes ``check_configuration``.
    Returns:
      A pair of a ConfigurationHead with an empty write id, which the caller replaces, and a dict
      of shard texts by digest. Only the head holds the generation.
    Raises:
      ValueError: If a section exceeds MAX_SHARD_BYTES, or a block has no valid prefix.
    """
    texts = _split_core(configuration) + _split_blocks(configuration.blocks)
    named_texts = [(name, compute_digest(text), text) for name, text in texts]
    head = records.ConfigurationHead(
        configuration.generation, "", tuple((name, digest) for name, digest, _ in named_texts)
    )
    return head, {digest: text for _, digest, text in named_texts}


def join_shards(head, texts):
    """Joins the shards that a head names.

    Args:
      head: A ConfigurationHead.
      texts: Shard texts by digest; other texts are ignored.
    Returns:
      A pair of Configuration, or None if there are problems, and a tuple of Problems. Blocks are
      sorted by address.
    """
    problems = find_invalid_shards(head, texts)
    if problems:
        return None, tuple(problems)
    shards = sorted(head.shards)
    core = "".join([texts[digest] for name, digest in shards if not is_block_shard(name)])
    deployment, values, problems = _configtext.parse_core(core)
    blocks = []
    for name, digest in shards:
        if is_block_shard(name):
            shard_blocks, shard_problems = _configtext.parse_blocks(texts[digest])
            blocks += shard_blocks
            problems += shard_problems
    if problems:
        return None, tuple(problems)
    return records.Configuration(deployment, head.generation, blocks=tuple(blocks), **values), ()


def select_core_shards(head):
    """Returns the head without the shards of client blocks."""
    shards = tuple(pair for pair in head.shards if not is_block_shard(pair[0]))
    return dataclasses.replace(head, shards=shards)


def is_block_shard(name):
    """Says whether a shard of this name holds client blocks."""
    return name.startswith(BLOCK_SHARD_PREFIX)


def find_invalid_shards(head, texts):
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
    deployment_section = f"[deployment]\nname = {configuration.deployment}\n"
    core_text = deployment_section + "".join([text for _, text in sections])
    if len(core_text.encode()) <= MAX_UNSPLIT_CORE_BYTES:
        return [("core", core_text)]
    shard_texts = _split_sections(deployment_section, sections)
    return [
        (f"core-{index:03}" if index else "core", text) for index, text in enumerate(shard_texts)
    ]


def _split_sections(deployment_section, sections):
    shards = []
    section_texts = [deployment_section]
    size = len(deployment_section.encode())
    for name, text in sections:
        length = len(text.encode())
        if length > MAX_SHARD_BYTES:
            raise ValueError(f"section [{name}] of {length} bytes is longer than a shard")
        if size + length > MAX_SHARD_BYTES:
            shards.append("".join(section_texts))
            section_texts, size = [], 0
        section_texts.append(text)
        size += length
        if zlib.crc32(name.encode()) % SECTIONS_PER_CORE_SHARD == 0:
            shards.append("".join(section_texts))
            section_texts, size = [], 0
    return [*shards, "".join(section_texts)] if section_texts else shards


def _split_blocks(blocks):
    keyed_blocks = sorted(
        [(_prefixes.parse_prefix(block.prefix), block) for block in blocks], key=_get_key
    )
    keys = [key for key, _ in keyed_blocks]
    sorted_blocks = [block for _, block in keyed_blocks]
    ranges = []
    for bits in (32, 128):
        start = bisect.bisect_left(keys, (bits, 0, 0))
        end = bisect.bisect_left(keys, (bits + 1, 0, 0))
        _split_address_range(keys, start, end, bits, 0, bits, ranges)
    return [
        (
            _format_block_shard_name(bits, address),
            _configtext.format_blocks(sorted_blocks[start:end]),
        )
        for bits, address, start, end in ranges
    ]


def _format_block_shard_name(bits, address):
    digits = f"{address:0{bits // 4}x}".rstrip("0")
    return f"{BLOCK_SHARD_PREFIX}{4 if bits == 32 else 6}-{digits or '0'}"


def _get_key(item):
    return item[0]


def _split_address_range(keys, start, end, bits, first_address, remaining_bits, ranges):
    """Halves a range of addresses until each part has at most MAX_BLOCKS_PER_SHARD blocks.

    Split points are fixed addresses, so adding, removing or changing a block changes only the part
    that holds it.
    """
    if start == end:
        return
    if end - start <= MAX_BLOCKS_PER_SHARD or not remaining_bits:
        ranges.append((bits, first_address, start, end))
        return
    middle_address = first_address + (1 << (remaining_bits - 1))
    middle = bisect.bisect_left(keys, (bits, middle_address, 0), start, end)
    _split_address_range(keys, start, middle, bits, first_address, remaining_bits - 1, ranges)
    _split_address_range(keys, middle, end, bits, middle_address, remaining_bits - 1, ranges)
