"""Steps of queue_model.feature."""

from behave import given, then, when

from bench import baselines, queue_model


@given("the values 1 to {count:d}")
def make_values(context, count):
    context.values = list(range(count, 0, -1))


@then("the {percent:g} percentile is {value:d}")
def check_percentile(context, percent, value):
    actual = queue_model.compute_percentile(context.values, percent)
    assert actual == value, actual


@then("the {percent:g} percentile raises an error")
def check_percentile_error(context, percent):
    try:
        queue_model.compute_percentile(context.values, percent)
    except ValueError as error:
        assert "at least one value" in str(error)
        return
    raise AssertionError("compute_percentile raised no ValueError")


@given("an upstream with {slots:d} slots")
def make_upstream(context, slots):
    context.simulator = queue_model.Simulator()
    site = queue_model.Site("u-1", "north-a", "north", slots)
    context.upstream = queue_model.ModelUpstream(context.simulator, site)
    context.ends = []


@when("{count:d} jobs of {work_s:g} s arrive at once")
def submit_jobs(context, count, work_s):
    simulator = context.simulator
    context.tokens = [
        context.upstream.submit(work_s, lambda: context.ends.append(simulator.now))
        for _ in range(count)
    ]


@when("the speed becomes {speed:g} at {time:g} s")
def change_speed(context, speed, time):
    context.simulator.schedule(time, context.upstream.set_speed, speed)


@when("the first job is cancelled at {time:g} s")
def cancel_first(context, time):
    context.simulator.schedule(time, context.upstream.cancel, context.tokens[0])


@then("they end at {times} s")
def check_ends(context, times):
    context.simulator.run(100.0)
    expected = [float(time) for time in times.split(", ")]
    ends = [round(end, 9) for end in context.ends]
    assert ends == expected, ends


@given("{count:d} jobs at {percent:d}% load on {upstreams:d} upstreams with {slots:d} slots")
def make_load(context, count, percent, upstreams, slots):
    sites = tuple(
        queue_model.Site(f"u-{index}", "north-a", "north", slots) for index in range(upstreams)
    )
    context.place = queue_model.Place("test", sites, 0.0015, 0.055)
    load = queue_model.Load(percent / 100, count)
    context.jobs = queue_model.make_jobs(context.place, load)


@when("they run in one perfect queue")
def run_perfect(context):
    queue_model.run_model(context.place, context.jobs, baselines.PerfectQueue)


@then("their mean wait is within {percent:d}% of {expected:g} s")
def check_wait(context, percent, expected):
    waits = [job.latency_s - job.work_s for job in context.jobs]
    mean_s = sum(waits) / len(waits)
    assert abs(mean_s / expected - 1) < percent / 100, mean_s


@then("each job ran once")
def check_runs(context):
    assert all(job.runs == 1 for job in context.jobs)
