"""Ranks of requests by urgency, for hosts that get more requests than upstreams take.

The priority of a request's account comes before that of its route. Requests of no account, which
public routes admit beside those of accounts, are the least urgent: a client must not gain by
leaving its key out.
"""

import bisect

from skylarksill.host import accounts


class PriorityRanks:
    """Order of the priorities of each service in one generation of the configuration.

    Args:
      configuration: The records.Configuration, or None without one.

    Attributes:
      configuration: As above.
    """

    def __init__(self, configuration):
        self.configuration = configuration
        known = configuration.accounts if configuration else None
        self._has_accounts = known is not None
        self._account_priorities = sorted({item.priority for item in (known or {}).values()})
        priorities = {}
        for route in configuration.routes if configuration else ():
            for share in route.shares:
                priorities.setdefault(share.service_id, set()).add(route.priority)
        self._route_priorities = {key: sorted(values) for key, values in priorities.items()}

    def find_rank(self, route, service_id, identity):
        """Returns the rank of a request among those to its service.

        Args:
          route: The records.Route.
          service_id: Service that the route's split chose.
          identity: The identity of the request; see ``accounts``.
        Returns:
          The number of pairs of an account's and a route's priority that are more urgent, and the
          number of all pairs; without accounts, the number of more urgent priorities of routes,
          and None.
        """
        known = self._route_priorities.get(service_id, ())
        rank = bisect.bisect_left(known, route.priority)
        if not self._has_accounts:
            return rank, None
        account = accounts.find_account(identity)
        urgent_accounts = len(self._account_priorities)
        if account is not None:
            urgent_accounts = bisect.bisect_left(self._account_priorities, account.priority)
        return (
            urgent_accounts * len(known) + rank,
            (len(self._account_priorities) + 1) * len(known),
        )
