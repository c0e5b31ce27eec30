"""Answers to lookups: ranked hosts, route and ticket as JSON."""

import dataclasses
import json

from skylarksill import records, routes, routing, tickets

ANSWER_LIFETIME_MS = 5_000
DIVERTED_LIFETIME_MS = 2_000
RETRY_AFTER_MS = 1_000

_DIVERTED_CAUSES = frozenset({routing.Cause.SPILL, routing.Cause.LOST, routing.Cause.CAP})


class LookupFailedError(records.SkylarksillError):
    """A lookup cannot be answered.

    Attributes:
      status: HTTP status.
      refusal: The Refusal with the reason.
    """

    def __init__(self, status, reason, detail, retry_after_ms=None):
        super().__init__(f"{reason}: {detail}")
        self.status = status
        self.refusal = records.Refusal(
            records.Verdict.NOT_RUN, reason, detail, None, retry_after_ms
        )


@dataclasses.dataclass(frozen=True, slots=True)
class LookupAnswer:
    """Answer to a lookup; ``ticket`` is the Ticket that ``body`` contains, or None."""

    body: bytes
    ranking: routing.Ranking
    ticket: records.Ticket | None


@dataclasses.dataclass(frozen=True, slots=True)
class _RenderedAnswer:
    head: str
    tail: str
    route_expiry_unix: int


class AnswerBuilder:
    """Builds answers and caches the JSON text that answers with equal rankings share.

    Args:
      shared_key: The deployment's shared key.
      zone: Zone of this host.
      make_ticket_id: Function that returns a new ticket id from a secure random source.
    """

    def __init__(self, shared_key, zone, make_ticket_id):
        self._shared_key = shared_key
        self._zone = zone
        self._make_ticket_id = make_ticket_id
        self._rendered = {}

    def make_answer(self, table, view, service, client, now, now_unix):
        """Builds the answer to one lookup.

        Args:
          table: The RoutingTable in force, or None.
          view: The SteeringView.
          service: Name of the service.
          client: IP address of the client.
          now: Monotonic time in seconds.
          now_unix: Wall-clock time in seconds.
        Returns:
          A LookupAnswer.
        Raises:
          LookupFailedError: If the lookup cannot be answered.
        """
        if table is None:
            raise LookupFailedError(
                503, "no_configuration", "no configuration is in force yet", RETRY_AFTER_MS
            )
        ranking = _rank(table, view, routing.Query(service, client, self._zone), now)
        if not ranking.hosts:
            raise LookupFailedError(
                503, "no_entry_host", "all entry hosts are leaving", RETRY_AFTER_MS
            )
        ticket = None
        if table.services[service].kind is records.WorkKind.NON_IDEMPOTENT:
            ticket = make_ticket(ranking.ticket_hosts, service, self._make_ticket_id(), now_unix)
        rendered = self._get_rendered(table, service, ranking, now_unix)
        text = f'"{tickets.sign_ticket(self._shared_key, ticket)}"' if ticket else "null"
        return LookupAnswer((rendered.head + text + rendered.tail).encode(), ranking, ticket)

    def clear_cache(self):
        """Clears the cached texts; called after cached rankings were discarded."""
        self._rendered = {}

    def _get_rendered(self, table, service, ranking, now_unix):
        rendered = self._rendered.get((service, ranking))
        expiry_unix = routes.choose_expiry(now_unix)
        if rendered is None or rendered.route_expiry_unix != expiry_unix:
            rendered = self._render(table, service, ranking, expiry_unix)
            self._rendered[service, ranking] = rendered
        return rendered

    def _render(self, table, service, ranking, expiry_unix):
        fields = {
            "service": service,
            "hosts": [_describe_host(host) for host in ranking.hosts],
            "lifetime_ms": (
                DIVERTED_LIFETIME_MS if ranking.cause in _DIVERTED_CAUSES else ANSWER_LIFETIME_MS
            ),
            "route": routes.mint_route(self._shared_key, ranking.home_region, expiry_unix),
        }
        head = json.dumps(fields)[:-1] + ', "ticket": '
        return _RenderedAnswer(head, f', "generation": {table.generation}}}', expiry_unix)


def make_ticket(ticket_hosts, service, ticket_id, now_unix):
    """Makes a ticket for the chosen hosts.

    Args:
      ticket_hosts: routing.TicketHosts, or None.
      service: The service's id.
      ticket_id: Unique id from a secure random source.
      now_unix: Wall-clock time in seconds.
    Returns:
      A Ticket.
    Raises:
      LookupFailedError: If no dispatcher of the service is alive.
    """
    if ticket_hosts is None:
        raise LookupFailedError(
            503, "no_dispatcher", f"no dispatcher of service {service} is alive", RETRY_AFTER_MS
        )
    arbiter = None
    if ticket_hosts.arbiter is not None:
        arbiter = (ticket_hosts.arbiter, ticket_hosts.arbiter_incarnation)
    home = (ticket_hosts.home, ticket_hosts.home_incarnation)
    return tickets.new_ticket(ticket_id, service, home, arbiter, int(now_unix * 1000))


def _rank(table, view, query, now):
    try:
        return routing.rank_hosts(table, query, view, now)
    except routing.UnknownServiceError as error:
        raise LookupFailedError(404, "unknown_service", str(error)) from error
    except ValueError as error:
        raise LookupFailedError(400, "bad_client", str(error)) from error


def _describe_host(host):
    return {
        "host": host.host_id,
        "address": host.address,
        "port": host.entry_port,
        "zone": host.zone_id,
    }
