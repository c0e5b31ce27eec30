"""Checks of orders that crash upstreams, and of long orders at upstreams that read slowly."""

from bench.soak import bounds, losschecks, records

# Crashes after which the order must reach upstreams in a few retries only.
FREE_CRASHES = 3
MAX_LATE_RETRIES = 3
# A request that outlasts its time-out has its answer this long after it.
ANSWER_SLACK_S = 0.5
# Fewer late answers than this say nothing about a share.
MIN_LATE_ANSWERS = 4


def check_crashes(observations):
    """Checks that an order that crashes upstreams reaches few of them once it has crashed three."""
    sent_at = {request.request_id: request for request in observations.crash_requests}
    runs = [sent_at[request_id] for request_id in observations.crash_runs]
    if len(runs) <= FREE_CRASHES:
        return
    bound = runs[FREE_CRASHES - 1].sent_at + bounds.CONTACT_S + bounds.SCHEDULING_DELAY_S
    late = [
        request
        for request in runs[FREE_CRASHES:]
        if request.sent_at > bound and _is_in_touch(observations, request)
    ]
    if len(late) > MAX_LATE_RETRIES:
        yield f"an order that crashes upstreams reached them in {len(late)} late retries"


def check_uploads(observations):
    """Checks that long orders have their answers by their time-out."""
    over_time = late = 0
    for request in observations.uploads:
        if request.completed_at is None or not _is_in_touch(observations, request):
            continue
        held_s = request.ended_at - request.completed_at
        over_time += held_s >= losschecks.TIMEOUT_S
        slack_s = ANSWER_SLACK_S + bounds.SCHEDULING_DELAY_S
        late += held_s > losschecks.TIMEOUT_S + slack_s
    if late >= MIN_LATE_ANSWERS and 2 * late > over_time:
        yield f"{late} of {over_time} long orders had no answer {ANSWER_SLACK_S} s after their time"


CHECKS = (check_crashes, check_uploads)


def _is_in_touch(observations, request):
    """Returns True if neither the host nor the store was disturbed around a request."""
    begin = request.sent_at - bounds.CONTACT_S
    end = max(request.sent_at, request.ended_at)
    parts = records.DisturbedPart
    return not (
        observations.is_disturbed(request.host, begin, end, parts.PROCESS)
        or observations.is_disturbed(request.host, begin, end, parts.STORE_PATH)
        or observations.is_disturbed(None, begin, end, parts.STORE)
    )
