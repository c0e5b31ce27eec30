"""Steps of questionnaire.feature."""

import collections
import itertools
import pathlib

import hypothesis
from behave import given, then, when
from hypothesis import strategies

from skylarksill import configuration, questionnaire, settings

EXAMPLES = pathlib.Path(__file__).parents[2] / "examples"


def read_example(name):
    return (EXAMPLES / name).read_text(encoding="utf-8")


@given("the example answers of {deployment}")
def step_answers(context, deployment):
    context.answers_text = read_example(f"{deployment}-answers.ini")
    context.answers, problems = questionnaire.parse_answers(context.answers_text)
    assert not problems, problems


@given("the example answers text of {deployment}")
def step_answers_text(context, deployment):
    context.answers_text = read_example(f"{deployment}-answers.ini")


@when("the configuration is generated")
def step_generate(context):
    context.generated, problems = questionnaire.generate_configuration(context.answers)
    assert not problems, problems


@when('the answer "{old}" becomes "{new}"')
def step_change_answer(context, old, new):
    assert old in context.answers_text
    context.answers_text = context.answers_text.replace(old, new, 1)


@when('the answer "{old}" becomes ""')
def step_remove_answer(context, old):
    step_change_answer(context, old, "")


@when("each question is answered wrongly first and then from the example")
def step_ask(context):
    example_answers = (
        line.partition("=")[2].strip() for line in context.answers_text.splitlines() if "=" in line
    )
    # No question accepts this text, whether or not it has a default.
    texts = itertools.chain.from_iterable(("wrong, \0", text) for text in example_answers)
    shown_lines = []
    context.collected_text = questionnaire.ask_answers(
        lambda prompt, default: next(texts), shown_lines.append
    )
    assert len(shown_lines) > 60, shown_lines


@then("the collected answers equal the example")
def step_collected(context):
    assert questionnaire.parse_answers(context.collected_text) == (context.answers, ())


@then("it equals the committed configuration of {deployment}")
def step_committed(context, deployment):
    text = configuration.format_configuration(context.generated)
    assert text == read_example(f"{deployment}-configuration.ini")


@then("it has 7 hosts, 38 upstreams and {slots:d} slots of {service} in six zones")
def step_sizes(context, slots, service):
    upstreams = [item for item in context.generated.upstreams if item.service_id == service]
    assert len(context.generated.hosts) == 7
    assert len(context.generated.upstreams) == 38
    assert sum(item.slots for item in upstreams) == slots
    assert len({item.zone_id for item in upstreams}) == 6
    assert all(item.max_connections == 330 for item in upstreams)


@then("zone {zone} has two hosts that split its upstreams and are standby of each other")
def step_split(context, zone):
    owner_pairs = [
        (up.home, up.standby) for up in context.generated.upstreams if up.zone_id == zone
    ]
    pair_counts = collections.Counter(frozenset(pair) for pair in owner_pairs)
    homes = collections.Counter(home for home, _ in owner_pairs)
    assert pair_counts == {frozenset((f"{zone}-1", f"{zone}-2")): len(owner_pairs)}
    assert max(homes.values()) - min(homes.values()) <= 1 and len(homes) == 2


@then('the answers are refused with "{problem}"')
def step_refused_answers(context, problem):
    answers, problems = questionnaire.parse_answers(context.answers_text)
    assert answers is None
    assert problem in [str(found) for found in problems], problems


def make_answers_text(zone_counts, host_counts, services):
    hosts = itertools.cycle(host_counts)
    regions = [f"r{index}" for index in range(len(zone_counts))]
    names = [f"s{index}" for index in range(len(services))]
    lines = [
        "[deployment]\nname = random\nstore_region = r0",
        f"regions = {', '.join(regions)}\nservices = {', '.join(names)}",
        "[delays]\nbetween_zones_ms = 1\nbetween_regions_ms = 20\nto_clients_ms = 3",
        "[links]\ngbit_per_s = 4",
        "[addresses]\nentry_hosts = 127.0.1.1\nupstreams = 127.0.2.1\nupstream_port = 8001",
    ]
    for region, count in zip(regions, zone_counts, strict=True):
        zones = [f"{region}-{index}" for index in range(count)]
        lines.append(f"[region {region}]\nzones = {', '.join(zones)}\nshift_cap_per_s = 9")
        lines += [f"[zone {zone}]\nentry_hosts = {next(hosts)}" for zone in zones]
    for name, (workers, slots) in zip(names, services, strict=True):
        lines.append(f"[service {name}]\nkind = idempotent\nworkers = {workers}")
        lines.append(f"slots = {slots}\nmean_ms = 50")
    return "\n".join(lines)


@then("100 random answers give valid configurations with evenly spread upstreams")
def step_random_answers(context):
    counts = strategies.lists(strategies.integers(1, 4), min_size=1, max_size=4)
    workers = strategies.tuples(strategies.integers(1, 20), strategies.integers(1, 6))

    @hypothesis.settings(
        max_examples=100, derandomize=True, deadline=None, database=None, print_blob=False
    )
    @hypothesis.given(counts, counts, strategies.lists(workers, min_size=1, max_size=3))
    def check(zone_counts, host_counts, services):
        text = make_answers_text(zone_counts, host_counts, services)
        answers, problems = questionnaire.parse_answers(text)
        assert not problems, problems
        generated, problems = questionnaire.generate_configuration(answers)
        assert not problems, problems
        zone_worker_counts = collections.Counter(
            (up.service_id, up.zone_id) for up in generated.upstreams
        )
        for service in generated.services:
            worker_counts = [
                zone_worker_counts[service.service_id, zone.zone_id] for zone in generated.zones
            ]
            assert max(worker_counts) - min(worker_counts) <= 1, zone_worker_counts

    check()


@then("the example settings name one of its hosts with its address and ports")
def step_example_settings(context):
    host_settings, problems = settings.load_settings(EXAMPLES / "settings.ini")
    assert not problems, problems
    hosts = {host.host_id: host for host in context.generated.hosts}
    host = hosts[host_settings.host]
    assert host.zone_id == host_settings.zone
    for field in ("address", "lookup_port", "entry_port", "dispatch_port", "agent_port"):
        assert getattr(host, field) == getattr(host_settings, field)
    agents = {(peer.address, peer.agent_port) for peer in context.generated.hosts}
    assert set(host_settings.peers) <= agents
