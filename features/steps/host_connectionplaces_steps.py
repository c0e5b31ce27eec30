"""Steps of host_connectionplaces.feature."""

import resource
from unittest import mock

from behave import given, then, when

from skylarksill.host import connectionplaces, program


class _Connection:
    """A connection that has waited for its client for some seconds at time 0."""

    def __init__(self, name, waited_s, is_slow, group):
        self.name = name
        self._waited_s = waited_s
        self._is_slow = is_slow
        self._group = group
        group.add(self)

    def find_wait(self, now):
        if not self._waited_s:
            return None
        return connectionplaces.Wait(self._is_slow, self._waited_s + now)

    def give_up_place(self):
        self._group.remove(self)


@given("{count:d} places for connections")
def step_places(context, count):
    context.places = connectionplaces.ConnectionPlaces(count, lambda: 0.0)


@given("connections that have waited for their clients")
def step_connections(context):
    doors = {}
    context.connections = []
    for row in context.table:
        if row["door"] not in doors:
            doors[row["door"]] = set()
            context.places.add_group(doors[row["door"]])
        group = doors[row["door"]]
        is_slow = row.get("client") == "slow"
        connection = _Connection(row["connection"], float(row["seconds"]), is_slow, group)
        context.connections.append(connection)
    context.groups = doors.values()


@when("places are made")
def step_make(context):
    assert context.places.make_places()


@then("{count:d} request may take a place")
def step_take(context, count):
    assert [context.places.take_place() for _ in range(count + 1)] == [True] * count + [False]


@then("no places can be made")
def step_none(context):
    assert not context.places.make_places()
    assert context.places.count == len(context.connections)


@then("the connections {names} were ended")
def step_ended(context, names):
    left = set().union(*context.groups)
    ended = [item.name for item in context.connections if item not in left]
    assert ended == names.split(", "), ended


@then("there are more connections than places")
def step_crowded(context):
    assert context.places.is_crowded


@then("there are no more connections than places")
def step_not_crowded(context):
    assert not context.places.is_crowded


@then("hosts have these places")
def step_host_places(context):
    for row in context.table:
        limits = (int(row["descriptors"]),) * 2
        with mock.patch.object(resource, "getrlimit", return_value=limits):
            places = program.compute_max_connections(int(row["memory_mb"]) * 1_000_000)
        assert places == int(row["places"]), (row, places)
