"""Choice of the route and the service of a request."""

import collections
import dataclasses

MAX_SPLIT_ROUTES = 4_096


class RouteTable:
    """Finds the route of a request by the longest matching prefix of its path.

    Args:
      routes: The routes of one generation of the configuration.
      unreadable: The records.UnreadableRoutes of the same generation.
    """

    def __init__(self, routes, unreadable=()):
        self._sites = {}
        for route in (*routes, *unreadable):
            # Prefixes that end within a segment match no path.
            if route.prefix.endswith("/"):
                node = self._sites.setdefault(route.site, _Node())
                for segment in route.prefix.split("/")[:-1]:
                    node = node.children.setdefault(segment, _Node())
                node.route = route

    def find(self, site, path):
        """Returns the Route or UnreadableRoute of a request, or None.

        Takes a time that grows with the length of the longest prefix that the path shares with a
        route, whatever the path is.

        Args:
          site: Host name that the client asked for, without a port.
          path: Path without a query.
        """
        node = self._sites.get(site)
        found = None
        begin = 0
        while node is not None:
            found = node.route or found
            end = path.find("/", begin)
            if end < 0:
                break
            node = node.children.get(path[begin:end])
            begin = end + 1
        return found


@dataclasses.dataclass(slots=True)
class _Node:
    """What a RouteTable knows of paths that begin in the same way, up to a slash.

    Attributes:
      route: The route whose prefix ends here, or None.
      children: Dict of the nodes of longer beginnings by their next segment.
    """

    route: object = None
    children: dict = dataclasses.field(default_factory=dict)


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
