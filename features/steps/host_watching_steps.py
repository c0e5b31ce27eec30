"""Steps of host_platform.feature about watches of the store."""

import json

import eventlet
from behave import then, when

from features import host_world
from standins import platformdata


@when(
    "the store is silent for {seconds:g} s, and configuration {generation:d} is written"
    " {delay:g} s after its return"
)
def step_silence(context, seconds, generation, delay):
    context.store.is_silent = True
    eventlet.sleep(seconds)
    context.store.is_silent = False
    eventlet.sleep(delay)
    spec = platformdata.build_configuration_spec(generation)
    context.store.write("config", "main", spec)


@when(
    "configuration {generation:d} is written, and {delay:g} s later the store is silent"
    " for {seconds:g} s"
)
def step_silence_after_change(context, generation, delay, seconds):
    spec = platformdata.build_configuration_spec(generation)
    context.store.write("config", "main", spec)
    eventlet.sleep(delay)
    context.store.is_silent = True
    eventlet.sleep(seconds)
    context.store.is_silent = False


@when("its watches wait")
def step_watches_wait(context):
    # The host begins to watch when it has found no source.
    host_world.wait_until(4.0, lambda: context.store.count_waiting() == 3)


@when("{seconds:g} s have passed")
def step_pass(context, seconds):
    eventlet.sleep(seconds)


@when("configuration {generation:d} is written")
def step_write_configuration(context, generation):
    spec = platformdata.build_configuration_spec(generation)
    context.store.write("config", "main", spec)


@when("the store refuses the next {count:d} lists of {kind}")
def step_refuse_lists(context, count, kind):
    context.store.refused_lists[kind] = count


@when("configuration {generation:d} is written and the store discards its history")
def step_configure_without_history(context, generation):
    spec = platformdata.build_configuration_spec(generation)
    context.store.write("config", "main", spec)
    context.store.forget_history()


@when('upstream "{name}" drains and the store discards its history')
def step_drain_without_history(context, name):
    spec = dict(context.store.read("servers", name), state="draining")
    context.store.write("servers", name, spec)
    context.store.forget_history()


@when("the connections of its waiting watches go silent")
def step_silent_connections(context):
    context.store.silence_waiting_connections()


@when("the store cuts off its waiting watches each {seconds:g} s")
def step_cut_off(context, seconds):
    def cut_off_repeatedly():
        while True:
            eventlet.sleep(seconds)
            context.store.cut_off_watches()

    context.add_cleanup(eventlet.spawn(cut_off_repeatedly).kill)


@when('the entry of "{name}" is deleted')
def step_delete(context, name):
    context.store.delete("servers", name)


@then('the host logs that "{name}" is gone within {seconds:g} s')
def step_logs_gone(context, name, seconds):
    host_world.wait_until(
        seconds,
        lambda: any(
            line["event"] == "belief.upstream"
            and (line["subject"], line["value"]) == (name, "gone")
            for line in _read_log(context)
        ),
    )


@then("it has never logged that it lost the store")
def step_never_lost(context):
    assert not [line for line in _read_log(context) if line["event"] == "store.lost"]


def _read_log(context):
    return [json.loads(line) for line in context.log_path.read_text().splitlines()]
