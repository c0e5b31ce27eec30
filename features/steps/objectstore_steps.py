"""Steps of objectstore.feature."""

import io
import json

import urllib3
from behave import given, then, when

from features import platforms
from skylarksill import objectstore, records
from standins import platform


class RefusingPoolStub:
    def urlopen(self, *arguments, **options):
        raise urllib3.exceptions.NewConnectionError(None, "refused")


def call_and_catch(context, call, *arguments):
    context.error = None
    try:
        return call(*arguments)
    except objectstore.StoreError as error:
        context.error = error


@given('an object store with object "a" of version 1')
def step_store(context):
    context.platform = platform.Platform(max_wait_s=0)
    context.platform.write("a", b"1")
    context.store = objectstore.ObjectStore(("", 1), "host-0", platforms.FakePool(context.platform))


@given("an object store that refuses connections")
def step_refusing(context):
    context.store = objectstore.ObjectStore(("", 1), "host-0", RefusingPoolStub())


@when('"a" is put with expected version {version:d}')
def step_put(context, version):
    call_and_catch(context, context.store.put, "a", b"2", version)


@when('the reply is lost and "a" is put with expected version {version:d}')
def step_put_lost(context, version):
    context.platform.faults.lost_replies = 1
    step_put(context, version)


@when("a value of {count:d} bytes is put")
def step_long(context, count):
    call_and_catch(context, context.store.put, "a", b"x" * count, 1)


@then("the call fails with {name} and {verdict}")
def step_fails(context, name, verdict):
    assert type(context.error).__name__ == name, context.error
    assert context.error.verdict is records.Verdict(verdict)


@then('"a" still has version {version:d}')
def step_version(context, version):
    assert context.store.get("a")[0] == version


@then("the platform counted no put")
def step_no_put(context):
    assert context.platform.counts["put"] == 0


@when('"a" is read, listed, watched and put')
def step_all(context):
    context.store.get("a")
    context.store.list("a")
    context.store.watch("a", 1, 30)
    context.store.put("a", b"2", 1)


@then("store and platform counted 1 get, 1 list, 1 watch and 1 put")
def step_counted(context):
    expected = dict.fromkeys(("get", "list", "watch", "put"), 1)
    assert context.store.calls == context.platform.counts == expected
    assert context.platform.client_counts["host-0"] == expected


@when('objects "b" and "c" are written')
def step_written(context):
    context.platform.write("b", b"")
    context.platform.write("c", b"")


@then('a watch of "a" and "b" after version 1 returns "b" with version 2')
def step_watch(context):
    result = context.store.watch(("a", "b"), 1, 30)
    assert result.changes == (objectstore.ObjectVersion("b", 2),), result


@when("the list of instances lags by 60 s and a host is set to leaving")
def step_lag(context):
    control(context, "faults", list_lag_ms=60_000)
    control(context, "instances", hosts={"host-1": "leaving"}, upstreams={})


def control(context, path, **fields):
    body = json.dumps(fields).encode()
    environ = {
        "PATH_INFO": f"/control/{path}",
        "REQUEST_METHOD": "POST",
        "CONTENT_LENGTH": str(len(body)),
        "wsgi.input": io.BytesIO(body),
    }
    context.platform(environ, lambda status, headers: None)


@then("the list of instances does not exist yet")
def step_lagging(context):
    call_and_catch(context, context.store.get, platform.INSTANCES_KEY)
    assert isinstance(context.error, objectstore.MissingError)
