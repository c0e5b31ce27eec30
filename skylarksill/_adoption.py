"""Applies configurations, views of the peers and loans to the dispatcher's state."""

from skylarksill import _dispatchevents, _dispatchstate, _holdings, loans, records

CONFIGURATION_SOURCE = "configuration"


def apply_new_configuration(state, configuration, now):
    """Puts a configuration in force; an older generation changes nothing.

    A different configuration of the same generation replaces one that the store has lost.
    """
    old = state.configuration
    if old is not None and (configuration == old or configuration.generation < old.generation):
        return
    region = _find_region(configuration, state.host)
    if region is None:
        # A host that was removed owns no slots and no share; its work in flight ends under the old
        # records.
        _apply_services(state, configuration)
        _apply_upstreams(state, old, configuration, now)
        state.share = state.shift_share = None
    else:
        state.region = region.region_id
        _apply_services(state, configuration)
        _apply_upstreams(state, old, configuration, now)
        _apply_shares(state, configuration, region, now)
    state.configuration = configuration
    _remove_accepted_hosts(state, now)


def apply_peer_view(state, peer_view, now):
    """Applies the peers' accepted generations, free slots and suspects."""
    for host, generation in peer_view.accepted:
        state.accepted[host] = max(generation, state.accepted.get(host, -1))
    _remove_accepted_hosts(state, now)
    for service in state.services.values():
        existing, service.siblings = service.siblings, {}
        for sibling in peer_view.siblings:
            if sibling.service == service.record.service_id:
                service.siblings[sibling.host] = _update_sibling(existing, sibling)
    for entry in peer_view.suspects:
        state.suspects.merge(entry, now)


def _update_sibling(existing, reported):
    sibling = existing.get(reported.host)
    if sibling is None:
        return _dispatchstate.Sibling(reported.host, reported.free)
    sibling.free = reported.free
    return sibling


def grant_loans(state, upstreams, borrower, now):
    """Lends the idle standby slots to the home of their upstreams.

    Returns:
      A GrantLoan with the upstreams whose slot is lent.
    """
    lent = tuple(upstream for upstream in upstreams if _grant_loan(state, upstream, borrower, now))
    return _dispatchevents.GrantLoan(lent, loans.LOAN_DURATION_S)


def accept_loans(state, granted):
    """Records the loans of a LoanGranted for upstreams whose home is this dispatcher."""
    home_upstreams = [
        upstream
        for upstream in granted.upstreams
        if upstream in state.upstreams and state.upstreams[upstream].is_home
    ]
    state.borrower.accept(home_upstreams, granted.requested_at, granted.duration_s)


def _grant_loan(state, upstream_id, borrower, now):
    upstream = state.upstreams.get(upstream_id)
    if upstream is None or upstream.record.home != borrower:
        return False
    if not upstream.can_lend(now):
        # The standby starts no new work on the slot, so that a later request of the home succeeds.
        upstream.recalled_until = now + loans.LOAN_DURATION_S
        return False
    return state.lender.grant(upstream_id, borrower, now)


def _find_region(configuration, host_id):
    zones = {zone.zone_id: zone.region_id for zone in configuration.zones}
    regions = {region.region_id: region for region in configuration.regions}
    for host in configuration.hosts:
        if host.host_id == host_id:
            return regions[zones[host.zone_id]]
    return None


def _apply_services(state, configuration):
    for record in configuration.services:
        service = state.services.get(record.service_id)
        if service is None:
            state.services[record.service_id] = _dispatchstate.ServiceState(record)
            continue
        service.record = record
        service.queue.set_mean(service.mean_s)
    for service in state.services.values():
        service.upstreams = []


def _apply_upstreams(state, old, configuration, now):
    old_records = {record.upstream_id: record for record in old.upstreams} if old else {}
    remaining = state.upstreams
    state.upstreams = {}
    for record in configuration.upstreams:
        owned = _holdings.count_owned_slots(record, state.host)
        existing = remaining.pop(record.upstream_id, None)
        if owned or (existing and existing.sends):
            holding = _make_holding(state, old, old_records, record, existing, configuration, now)
            _update_upstream(state, record, existing, holding, old is not None, now)
    for existing in remaining.values():
        if existing.sends:
            existing.holding = _holdings.make_holding(0, 0, configuration.generation, (), 0.0, now)
            _register_upstream(state, existing)
        else:
            _unregister_upstream(state, existing)


def _make_holding(state, old, old_records, record, existing, configuration, now):
    return _holdings.change_slots(
        existing.holding if existing else None,
        old_records.get(record.upstream_id),
        record,
        state.host,
        _list_possible_owners(state, old, configuration, record),
        configuration.generation,
        _has_gap(old, configuration),
        _compute_former_work_s(state, record),
        now,
    )


def _compute_former_work_s(state, record):
    """Returns how long work of a former owner of the slots may run on, in seconds."""
    work_s = state.services[record.service_id].max_deadline_s + records.MAX_CLOCK_SKEW_S
    if record.home == state.host:
        return work_s
    # An earlier process of this host may have lent the standby slot just before it ended.
    return max(work_s, loans.LOAN_DURATION_S + loans.LENDER_WAIT_S)


def _list_possible_owners(state, old, configuration, record):
    """Lists the hosts that may use this host's slots under a generation before the last one.

    A home is always a host of the upstream's zone, a standby one of its region. If no generation
    was skipped, hosts that are known to have accepted the last one use no older one.
    """
    hosts = set(_list_role_hosts(configuration, record, state.host))
    if old is None:
        return hosts
    hosts.update(_list_role_hosts(old, record, state.host))
    if not _has_gap(old, configuration):
        hosts = {host for host in hosts if state.accepted.get(host, -1) < old.generation}
    return hosts - {state.host}


def _has_gap(old, configuration):
    return old is None or configuration.generation != old.generation + 1


def _list_role_hosts(configuration, record, host_id):
    if record.home == host_id:
        return [host.host_id for host in configuration.hosts if host.zone_id == record.zone_id]
    region = _find_region(configuration, host_id)
    return _holdings.list_region_hosts(configuration, region.region_id) if region else ()


def _update_upstream(state, record, existing, holding, is_cold, now):
    upstream = existing or _dispatchstate.UpstreamState(
        record, holding, state.lender, state.borrower, state.host
    )
    if upstream.record.standby != record.standby or record.home != state.host:
        state.borrower.drop(record.upstream_id)
    upstream.record = record
    upstream.holding = holding
    mark_leaving(
        upstream, CONFIGURATION_SOURCE, record.state is not records.LifecycleState.SERVING, now
    )
    _register_upstream(state, upstream)
    service = state.services[record.service_id]
    service.health.add(record.upstream_id, now, is_cold=is_cold and existing is None)


def _register_upstream(state, upstream):
    state.upstreams[upstream.record.upstream_id] = upstream
    state.services[upstream.record.service_id].upstreams.append(upstream)


def _unregister_upstream(state, upstream):
    state.borrower.drop(upstream.record.upstream_id)
    service = state.services.get(upstream.record.service_id)
    if service is not None:
        service.health.remove(upstream.record.upstream_id)


def apply_leaving_report(state, event, now):
    """Applies an UpstreamLeaving from the host list or from a health probe."""
    upstream = state.upstreams.get(event.upstream)
    if upstream is not None:
        mark_leaving(upstream, event.source, event.is_leaving, now)


def list_loans_to_request(state):
    """Returns a map from a standby host to the upstreams whose slot this home may borrow."""
    upstreams_by_standby = {}
    for upstream in state.upstreams.values():
        record = upstream.record
        if upstream.is_home and record.standby is not None and record.slots > 1:
            upstreams_by_standby.setdefault(record.standby, []).append(record.upstream_id)
    return upstreams_by_standby


def mark_leaving(upstream, source, is_leaving, now):
    """Records what one source reports about a planned stop of an upstream."""
    if is_leaving:
        upstream.leaving_sources.add(source)
    else:
        upstream.leaving_sources.discard(source)


def _apply_shares(state, configuration, region, now):
    former_work_s = records.MAX_CLOCK_SKEW_S + max(
        (service.max_deadline_s for service in state.services.values()), default=0.0
    )
    # The wait after a restart covers work of this host's earlier process, which had its own share.
    is_restart = state.configuration is None
    hosts = _holdings.list_region_hosts(configuration, region.region_id)
    if not is_restart:
        hosts += _holdings.list_region_hosts(state.configuration, region.region_id)
    hosts = set() if is_restart else set(hosts) - {state.host}
    for field, limit in (("share", region.max_in_flight), ("shift_share", region.shift_cap_per_s)):
        amount = _holdings.split_region(configuration, region.region_id, limit)[state.host]
        changed = _holdings.change_share(
            getattr(state, field),
            amount,
            configuration.generation,
            _has_gap(state.configuration, configuration),
            hosts,
            former_work_s,
            now,
        )
        setattr(state, field, changed)


def _remove_accepted_hosts(state, now):
    if state.configuration is None:
        return
    generation = state.configuration.generation
    for upstream in state.upstreams.values():
        upstream.holding.remove_accepted_hosts(state.accepted, generation, now)
    for share in (state.share, state.shift_share):
        if share is not None:
            share.remove_accepted_hosts(state.accepted, generation, now)
