"""Conversion of configurations to and from INI text and shards, and their validation.

A configuration that was parsed may still be unusable; ``check_configuration`` finds what keeps it
from taking effect.
"""

from skylarksill import _configcheck, _configdiff, _configshards, _configtext, _shardreader

MAX_SHARD_BYTES = _configshards.MAX_SHARD_BYTES

# Keys in the platform store; a shard's key is the prefix and its digest.
HEAD_KEY = "config/head"
SHARD_PREFIX = "config/shards/"

format_configuration = _configtext.format_configuration
parse_configuration = _configtext.parse_configuration
check_configuration = _configcheck.check_configuration
split_shards = _configshards.split_shards
ShardReader = _shardreader.ShardReader
join_shards = _configshards.join_shards
format_head = _configtext.format_head
parse_head = _configtext.parse_head
select_core_shards = _configshards.select_core_shards
compute_digest = _configshards.compute_digest
diff_configurations = _configdiff.diff_configurations
