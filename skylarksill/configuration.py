"""The configuration as INI text and as shards, and its checks.

A parsed configuration may still be unusable; ``check_configuration`` finds what cannot be put in
force.
"""

from skylarksill import _configcheck, _configdiff, _configshards, _configtext, _shardreader

MAX_SHARD_BYTES = _configshards.MAX_SHARD_BYTES

# Keys of the platform store; a shard's key ends in its digest.
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
select_core = _configshards.select_core
compute_digest = _configshards.compute_digest
diff_configurations = _configdiff.diff_configurations
