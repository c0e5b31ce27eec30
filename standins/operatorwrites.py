"""Versions of a configuration as an operator writes them, and which of their routes a path has."""

import dataclasses
import json
import random

from standins import platformdata

SITES = ("shop.example", "Yard.example", "pay.example")
SEGMENTS = ("a", "b", "read", "re", "a%2Fb", "x-1")
SERVICES = ("catalogue", "deposits", "yard")
# Versions rise by up to this number.
MAX_VERSION_STEP = 4
FIRST_ROUTES = 12
MAX_CHANGES = 4
# What other programs write into the same kind.
FOREIGN_SPECS = (
    None,
    [],
    "text",
    {"configVersion": 10**30, "routes": {}},
    {"configVersion": 2**62, "routes": {}, "services": {}, "limits": None},
    platformdata.build_configuration_spec(1_000_000, routes={"r-1": {}}),
    platformdata.build_configuration_spec(2_000_000),
    json.loads("[" * 70 + "]" * 70),
)
FOREIGN_NAMES = ("Main", "main2", "a", "main\ud800", "zz", "main/")


@dataclasses.dataclass(frozen=True, slots=True)
class Version:
    """One version of the configuration.

    Attributes:
      number: Its number.
      spec: What is stored.
      routes: Tuples of site in lower case, prefix, name and the route's spec.
    """

    number: int
    spec: dict
    routes: tuple
    _found: dict = dataclasses.field(default_factory=dict)

    def find(self, site, path):
        """Returns the name and the spec of the route with the longest matching prefix, or None."""
        if (site, path) not in self._found:
            matching = [item for item in self.routes if item[0] == site]
            matching = [item for item in matching if path.startswith(item[1])]
            longest = max(matching, key=lambda item: len(item[1]), default=None)
            self._found[site, path] = longest and longest[2:]
        return self._found[site, path]


class Operator:
    """Makes versions, each from the one before.

    Args:
      seed: Seed of all choices.

    Attributes:
      versions: Dict of Version by number.
      newest: The newest Version.
    """

    def __init__(self, seed):
        self._random = random.Random(f"operator {seed}")
        self._routes = {}
        self._removed = []
        self._names = 0
        self._number = self._random.randint(0, 50)
        self.versions = {}
        self.newest = None
        for _ in range(FIRST_ROUTES):
            self._add()
        self.write()

    def write(self):
        """Makes the next version; returns it."""
        if self.newest is not None:
            for _ in range(self._random.randint(1, MAX_CHANGES)):
                self._random.choice(
                    (
                        self._add,
                        self._add,
                        self._remove,
                        self._move,
                        self._restore,
                        self._rename,
                        self._change,
                    )
                )()
        self._number += self._random.randint(1, MAX_VERSION_STEP)
        names = list(self._routes)
        self._random.shuffle(names)
        routes = {name: dict(self._routes[name]) for name in names}
        spec = platformdata.build_configuration_spec(self._number, routes=routes)
        for service in SERVICES:
            spec["services"][service] = dict(spec["services"]["catalogue"])
        items = tuple(
            (route["host"].lower(), route["pathPrefix"], name, route)
            for name, route in routes.items()
        )
        self.newest = self.versions[self._number] = Version(self._number, spec, items)
        return self.newest

    def _is_taken(self, site, prefix):
        return any(
            (route["host"].lower(), route["pathPrefix"]) == (site.lower(), prefix)
            for route in self._routes.values()
        )

    def _make_prefix(self):
        if self._routes and self._random.random() < 0.5:
            known = self._random.choice(list(self._routes.values()))["pathPrefix"]
            if self._random.random() < 0.3:
                # A shorter prefix that overlaps with it; at the end a single slash.
                return known[: known.rindex("/", 0, -1) + 1] if len(known) > 1 else "/"
            if self._random.random() < 0.5:
                return known
            return known + self._random.choice(SEGMENTS) + "/"
        parts = self._random.choices(SEGMENTS, k=self._random.randint(0, 3))
        return "".join(f"/{part}" for part in parts) + "/"

    def _put(self, site, prefix):
        if self._is_taken(site, prefix):
            return
        self._names += 1
        service = self._random.choice(SERVICES)
        if self._random.random() < 0.2:
            service = list(self._random.sample(SERVICES, 2))
        kind = self._random.choice(("idempotent", "non_idempotent"))
        route = platformdata.build_route_spec(prefix, kind, service)
        route["host"] = site
        self._routes[f"r-{self._names}"] = route

    def _add(self):
        self._put(self._random.choice(SITES), self._make_prefix())

    def _remove(self):
        if len(self._routes) > 4:
            name = self._random.choice(list(self._routes))
            self._removed.append(self._routes.pop(name))

    def _move(self):
        route = self._choose()
        route.pop("trafficSplit", None)
        route["service"] = self._random.choice(SERVICES)

    def _restore(self):
        if self._removed:
            route = self._removed.pop(self._random.randrange(len(self._removed)))
            self._put(route["host"], route["pathPrefix"])

    def _rename(self):
        name = self._random.choice(list(self._routes))
        self._names += 1
        self._routes[f"r-{self._names}"] = self._routes.pop(name)

    def _change(self):
        route = self._choose()
        route["timeout"] = f"{self._random.randint(200, 3000)}ms"
        route["allowedRegions"] = self._random.choice(([], ["north"], ["south"]))

    def _choose(self):
        """Returns a copy of a route's spec that has replaced it."""
        name = self._random.choice(list(self._routes))
        self._routes[name] = dict(self._routes[name])
        return self._routes[name]


def list_probes(versions):
    """Returns pairs of site and path that tell the versions' routes apart, in a fixed order."""
    probes = set()
    sites = sorted({site.lower() for site in SITES} | {"other.example"})
    prefixes = sorted({item[1] for version in versions for item in version.routes})
    for prefix in prefixes:
        for site in sites:
            probes |= {
                (site, prefix),
                (site, prefix + "x"),
                (site, prefix[:-1]),
                (site, prefix + "/"),
            }
    return sorted(probes)


def matches(route, name, spec):
    """Returns True if a records.Route says what a route's spec says."""
    split = spec.get("trafficSplit") or [{"service": spec.get("service"), "weight": 1}]
    return (
        route.route_id == name
        and route.site == spec["host"].lower()
        and route.prefix == spec["pathPrefix"]
        and route.kind.value == spec["kind"].replace("_", "-")
        and f"{round(route.timeout_s * 1000)}ms" == spec["timeout"]
        and sorted(route.regions) == sorted(spec["allowedRegions"])
        and [(share.service_id, share.weight) for share in route.shares]
        == [(part["service"], part["weight"]) for part in split]
    )
