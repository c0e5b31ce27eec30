"""Line-by-line differences between two configurations.

Records are compared by id in linear time, since a text diff is far too slow for hundreds of
thousands of blocks.
"""

from skylarksill import _configtext


def diff_configurations(old, new):
    """Lists the differences, apart from the generation.

    Args:
      old: A Configuration.
      new: A Configuration.
    Returns:
      A tuple of lines that start with "- " for ``old`` or "+ " for ``new``.
    """
    lines = _diff_lines("[deployment]", [f"name = {old.deployment}"], [f"name = {new.deployment}"])
    old_sections = dict(_configtext.format_sections(old))
    new_sections = dict(_configtext.format_sections(new))
    for name in {**old_sections, **new_sections}:
        lines += _diff_sections(name, old_sections.get(name), new_sections.get(name))
    old_blocks = {block.prefix: block.zone_id for block in old.blocks}
    new_blocks = {block.prefix: block.zone_id for block in new.blocks}
    for prefix in sorted(old_blocks.keys() | new_blocks.keys()):
        if old_blocks.get(prefix) != new_blocks.get(prefix):
            lines += [f"- [blocks] {prefix} = {old_blocks[prefix]}"] * (prefix in old_blocks)
            lines += [f"+ [blocks] {prefix} = {new_blocks[prefix]}"] * (prefix in new_blocks)
    return tuple(lines)


def _diff_sections(name, old, new):
    if old is None:
        return [f"+ [{name}]"]
    if new is None:
        return [f"- [{name}]"]
    return _diff_lines(f"[{name}]", old.splitlines()[1:], new.splitlines()[1:])


def _diff_lines(header, old, new):
    return [f"- {header} {line}" for line in old if line not in new] + [
        f"+ {header} {line}" for line in new if line not in old
    ]
