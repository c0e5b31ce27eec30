"""Setup of the behave features."""

import logbook

import skylarksill  # noqa: F401


def before_all(context):
    """Suppresses log lines, which would clutter the test report."""
    logbook.NullHandler().push_application()
