"""Compressed shard texts, as agents store them and send them to each other."""

import collections.abc
import zlib

from skylarksill import configuration


class CompressedShards(collections.abc.Mapping):
    """Shard texts by digest, stored compressed and decompressed on each access.

    330,000 client blocks take about 8 MB as texts, and an agent needs few of them at a time.
    """

    def __init__(self, packed=None):
        self.packed = dict(packed or {})

    def __getitem__(self, digest):
        return decompress_shard(self.packed[digest])

    def __iter__(self):
        return iter(self.packed)

    def __len__(self):
        return len(self.packed)

    def __contains__(self, digest):
        return digest in self.packed


def compress_shard(text):
    """Returns the compressed text of a shard."""
    return zlib.compress(text.encode())


def decompress_shard(data):
    """Returns the text of a compressed shard, or an empty text if it is damaged or too long."""
    decompressor = zlib.decompressobj()
    try:
        text = decompressor.decompress(data, configuration.MAX_SHARD_BYTES).decode()
    except (zlib.error, UnicodeDecodeError):
        return ""
    return text if decompressor.eof else ""
