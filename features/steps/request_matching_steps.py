"""Steps of request_matching.feature."""

from behave import then, when

from bench import request_matching
from features import host_builders
from skylarksill.host import _requestfields

PLAIN = "plain"


@when('{count:d} connections send pipelined requests whose sites are named by "{form}"')
def step_send(context, count, form):
    forms = () if form == PLAIN else (request_matching.Form(form),)
    context.wrong = [
        f"seed {seed}: {text}"
        for seed in range(1, count + 1)
        for text in request_matching.Run(seed, forms).play()
    ]


@then("each request got its own route, id, body and site")
def step_matched(context):
    assert not context.wrong, context.wrong[:5]


@then('a request for "{target}" with the Host header "{host}" names no site')
def step_no_site(context, target, host):
    headers = [] if host == "missing" else [(b"host", host.encode())]
    names = host_builders.import_platform()[1].HEADER_NAMES
    request = _requestfields.build_request(b"GET", target.encode(), headers, b"", names)
    assert request is None, request
