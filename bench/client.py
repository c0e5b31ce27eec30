"""HTTP client for the demo and the measurements; follows the protocol of docs/callers.md."""

import dataclasses
import json
import time

import urllib3

LOOKUP_TIMEOUT_S = 2.0
REQUEST_TIMEOUT_S = 6.0
MAX_ATTEMPTS = 5
MAX_RETRY_DELAY_S = 1.0


@dataclasses.dataclass(frozen=True, slots=True)
class Outcome:
    """Outcome of one request.

    ``verdict`` is None if the last attempt of an idempotent request got no verdict.
    """

    service: str
    status: int | None
    verdict: str | None
    body: bytes
    latency_s: float
    attempts: int


@dataclasses.dataclass(frozen=True, slots=True)
class LookupAnswer:
    """A lookup response; ``expiry`` is in seconds of the monotonic clock."""

    hosts: tuple[tuple[str, int], ...]
    route: str
    ticket: str | None
    expiry: float


class Client:
    """Looks up entry hosts, sends requests and retries as the verdicts allow.

    Args:
      lookups: Addresses of lookup processes as pairs of IP address and port, nearest first.
      address: IP address that the client gives as its own in lookups.
    """

    def __init__(self, lookups, address):
        self._lookup_addresses = lookups
        self._address = address
        self._pool = urllib3.PoolManager(num_pools=32, maxsize=4, retries=False)
        self._cached_lookups = {}

    def send(self, service, method, path, body, is_idempotent, headers=None):
        """Sends one request and retries it as the verdicts allow.

        All attempts of a non-idempotent request use the same ticket until a verdict NOT_RUN, which
        replaces it by the ticket in the response or else by that of a new lookup.

        Returns:
          An Outcome.
        """
        start = time.monotonic()
        lookup = self._find_lookup(service, is_idempotent)
        ticket = lookup.ticket if lookup else None
        last_response = (None, None, b"")
        attempts = 0
        while attempts < MAX_ATTEMPTS and time.monotonic() - start < REQUEST_TIMEOUT_S:
            if lookup is None:
                time.sleep(0.2)
                lookup = self._find_lookup(service, is_idempotent)
                ticket = lookup.ticket if lookup else None
                attempts += 1
                continue
            address = lookup.hosts[attempts % len(lookup.hosts)]
            attempts += 1
            sent_headers = self._make_headers(headers, lookup.route, ticket)
            last_response = self._send_once(address, service, method, path, body, sent_headers)
            status, verdict, answer_body = last_response
            if verdict == "RAN":
                break
            if verdict == "MAY_HAVE_RUN" and not is_idempotent:
                break
            if status is None:
                self._cached_lookups.pop(service, None)
            fresh_ticket, pause_s = _read_refusal(answer_body)
            if verdict == "NOT_RUN" and not is_idempotent:
                # After NOT_RUN the old ticket cannot be used again.
                new_lookup = None if fresh_ticket else self._find_lookup(service, is_idempotent)
                lookup = new_lookup or lookup
                ticket = fresh_ticket or (new_lookup and new_lookup.ticket)
            time.sleep(pause_s)
        status, verdict, answer_body = last_response
        if verdict is None and not is_idempotent:
            verdict = "MAY_HAVE_RUN"
        latency_s = time.monotonic() - start
        return Outcome(service, status, verdict, answer_body, latency_s, attempts)

    def look_up_route(self, service):
        """Returns the signed route of this client for an idempotent service, or None."""
        lookup = self._find_lookup(service, is_idempotent=True)
        return lookup.route if lookup else None

    def _find_lookup(self, service, is_idempotent):
        cached = self._cached_lookups.get(service)
        if is_idempotent and cached and cached.expiry > time.monotonic():
            return cached
        for address in self._lookup_addresses:
            lookup = self._look_up(address, service)
            if lookup:
                self._cached_lookups[service] = lookup
                return lookup
        return None

    def _look_up(self, address, service):
        host, port = address
        url = f"http://{host}:{port}/v1/lookup?service={service}&client={self._address}"
        try:
            response = self._pool.request("GET", url, timeout=LOOKUP_TIMEOUT_S)
        except urllib3.exceptions.HTTPError:
            return None
        if response.status != 200:
            return None
        answer = json.loads(response.data)
        hosts = tuple((host["address"], host["port"]) for host in answer["hosts"])
        if not hosts:
            return None
        expiry = time.monotonic() + answer["lifetime_ms"] / 1000
        return LookupAnswer(hosts, answer["route"], answer["ticket"], expiry)

    def _make_headers(self, headers, route, ticket):
        sent = {**(headers or {}), "Skylarksill-Route": route}
        if ticket:
            sent["Skylarksill-Ticket"] = ticket
        return sent

    def _send_once(self, address, service, method, path, body, headers):
        url = f"http://{address[0]}:{address[1]}/v1/{service}{path}"
        timeout = urllib3.Timeout(connect=1.0, read=REQUEST_TIMEOUT_S)
        try:
            response = self._pool.request(method, url, body=body, headers=headers, timeout=timeout)
        except urllib3.exceptions.HTTPError:
            return None, None, b""
        return response.status, response.headers.get("Skylarksill-Verdict"), response.data


def _read_refusal(body):
    """Returns the fresh ticket in an error body, or None, and the retry delay in seconds."""
    try:
        refusal = json.loads(body)
    except ValueError:
        return None, 0.0
    if not isinstance(refusal, dict):
        return None, 0.0
    pause_s = min(MAX_RETRY_DELAY_S, (refusal.get("retry_after_ms") or 0) / 1000)
    return refusal.get("ticket"), pause_s
