"""What a run plays beside planned work, each chosen by its name on the command line."""

import enum


class Condition(enum.StrEnum):
    """A habit of clients or a state of the site that a run plays.

    HALF_CLOSE has clients end their sending side after some requests and read on. WAVES has them
    send the requests of the site's sheet, in waves of each zone's own phase.
    """

    HALF_CLOSE = "half-close"
    WAVES = "waves"


def parse_conditions(text):
    """Returns the frozenset of the Conditions of a list of names that commas separate.

    Raises:
      ValueError: If a name is unknown.
    """
    return frozenset(Condition(name) for name in text.split(",") if name)
