"""Set-up of the behave features."""

import logbook

import skylarksill  # noqa: F401


def before_all(context):
    """Keeps log lines out of the report."""
    logbook.NullHandler().push_application()
