"""Setup of the behave features."""

import logbook

import skylarksill  # noqa: F401
from features import host_world


def before_all(context):
    """Suppresses log lines, which would clutter the test report."""
    logbook.NullHandler().push_application()


def after_scenario(context, scenario):
    """Fails a scenario in which a host has logged an exception that the test does not expect."""
    world = getattr(context, "world", None)
    if isinstance(world, host_world.HostWorld):
        world.check_exceptions()
