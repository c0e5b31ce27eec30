"""Builds the dispatcher's load reports for its agent and peers."""

from skylarksill import health, messages, records


def describe_load(state, now):
    """Returns a messages.LoadEntry for each service that has upstreams at this dispatcher."""
    unused_share = max(0, state.count_allowed_sends(now) - len(state.sends))
    return tuple(
        _describe_service(state.host, service, unused_share, now)
        for service in state.services.values()
        if service.upstreams
    )


def describe_upstreams(state, now):
    """Returns a messages.UpstreamEntry for each upstream whose home is this host."""
    return tuple(
        _describe_upstream(state, upstream, now)
        for upstream in state.upstreams.values()
        if upstream.is_home
    )


def _describe_service(host, service, unused_share, now):
    healthy_upstreams = [
        upstream
        for upstream in service.upstreams
        if service.find_state(upstream) is health.HealthState.GOOD
    ]
    free = sum(upstream.count_free(now) for upstream in healthy_upstreams)
    return messages.LoadEntry(
        host,
        service.record.service_id,
        sum(upstream.count_usable(now) for upstream in service.upstreams),
        0 if len(service.queue) else min(free, unused_share),
        len(service.queue) + len(service.pending_suspects),
        sum(len(upstream.sends) for upstream in service.upstreams),
    )


def _describe_upstream(state, upstream, now):
    service = state.services[upstream.record.service_id]
    life_state = records.LifecycleState.SERVING
    if upstream.is_leaving:
        life_state = (
            records.LifecycleState.LEAVING if upstream.sends else records.LifecycleState.DRAINED
        )
    return messages.UpstreamEntry(
        upstream.record.upstream_id,
        life_state,
        service.find_state(upstream) in (health.HealthState.EJECTED, health.HealthState.DOWN),
        upstream.count_free(now),
        len(upstream.sends),
    )
