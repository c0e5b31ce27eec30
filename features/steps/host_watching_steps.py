"""Steps of host_platform.feature about watches of the store."""

import eventlet
from behave import when

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
