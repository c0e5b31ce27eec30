"""Ranks of requests by urgency."""


class PriorityRanks:
    """Order of the priorities of each service in one generation of the configuration.

    Args:
      configuration: The records.Configuration, or None without one.

    Attributes:
      configuration: As above.
    """

    def __init__(self, configuration):
        self.configuration = configuration
        self._priorities = {}
        for route in configuration.routes if configuration else ():
            for share in route.shares:
                self._priorities.setdefault(share.service_id, set()).add(route.priority)

    def find_rank(self, route, service_id):
        """Returns the number of more urgent priorities among the routes of a service."""
        known = self._priorities.get(service_id, ())
        return sum(priority < route.priority for priority in known)
