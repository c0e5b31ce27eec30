"""Structured log lines with a fixed prefix for each part."""

import sys

import logbook

LINE_FORMAT = "{record.time:%Y-%m-%dT%H:%M:%S.%f}Z {record.level_name} {record.message}"


class PartLogger(logbook.Logger):
    """Puts the part's prefix before each message."""

    def process_record(self, record):
        """Adds the prefix; called by logbook for each record."""
        super().process_record(record)
        record.msg = f"{self.name}: {record.msg}"


def make_logger(part):
    """Returns the logger of one part of the system, for example "entry"."""
    return PartLogger(part)


def start_logging(level="INFO", stream=None):
    """Writes log lines to standard error or to ``stream``.

    Args:
      level: Lowest level that is written, for example "DEBUG".
      stream: File object to write to; standard error if None.
    Raises:
      LookupError: If the level is unknown.
    """
    handler = logbook.StreamHandler(
        stream or sys.stderr, level=logbook.lookup_level(level), format_string=LINE_FORMAT
    )
    handler.push_application()


def format_fields(**fields):
    """Formats the fields of a decision line as ``key=value`` pairs in the given order."""
    return " ".join(f"{key}={value}" for key, value in fields.items())
