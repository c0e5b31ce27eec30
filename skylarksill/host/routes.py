"""Choice of the route and the service of a request."""

import collections

MAX_SPLIT_ROUTES = 4_096


class RouteTable:
    """Finds the route of a request by the longest matching prefix of its path.

    Args:
      routes: The routes of one generation of the configuration.
      unreadable: The records.UnreadableRoutes of the same generation.
    """

    def __init__(self, routes, unreadable=()):
        self._prefixes = {(route.site, route.prefix): route for route in (*routes, *unreadable)}

    def find(self, site, path):
        """Returns the Route or UnreadableRoute of a request, or None.

        Args:
          site: Host name that the client asked for, without a port.
          path: Path without a query.
        """
        end = path.rfind("/")
        while end >= 0:
            route = self._prefixes.get((site, path[: end + 1]))
            if route is not None:
                return route
            end = path.rfind("/", 0, end) if end else -1
        return None


class SplitTable:
    """Distributes the requests of each route over its services in proportion to their weights.

    Smooth weighted round robin: each request adds the weight of each service to its credit, and
    the service with the most credit gets the request and pays the sum of the weights.
    """

    def __init__(self):
        self._credits = collections.OrderedDict()

    def choose(self, route):
        """Returns the ServiceId of the service that gets the route's next request."""
        if len(route.shares) == 1:
            return route.shares[0].service_id
        key = (route.route_id, route.shares)
        credits = self._credits.pop(key, None) or dict.fromkeys(
            (share.service_id for share in route.shares), 0.0
        )
        self._credits[key] = credits
        if len(self._credits) > MAX_SPLIT_ROUTES:
            self._credits.popitem(last=False)
        total = 0.0
        for share in route.shares:
            credits[share.service_id] += share.weight
            total += share.weight
        chosen = max(credits, key=credits.get)
        credits[chosen] -= total
        return chosen
