"""A client of the system as docs/callers.md describes it, for the demo and the measurements."""

import dataclasses
import json
import time

import urllib3

LOOKUP_TIMEOUT_S = 2.0
REQUEST_TIMEOUT_S = 6.0
MAX_TRIES = 5
MAX_PAUSE_S = 1.0


@dataclasses.dataclass(frozen=True, slots=True)
class Outcome:
    """What became of one piece of work; ``verdict`` is None if no answer named one."""

    service: str
    status: int | None
    verdict: str | None
    body: bytes
    latency_s: float
    tries: int


@dataclasses.dataclass(frozen=True, slots=True)
class Steering:
    """An answer of a look-up."""

    hosts: tuple[tuple[str, int], ...]
    route: str
    ticket: str | None
    expiry: float


class Client:
    """Looks up entry hosts, sends requests and follows the verdicts.

    Args:
      lookups: Addresses of look-up processes as pairs of IP address and port, nearest first.
      address: IP address that the client states as its own.
    """

    def __init__(self, lookups, address):
        self._lookups = lookups
        self._address = address
        self._pool = urllib3.PoolManager(num_pools=32, maxsize=4, retries=False)
        self._steering = {}

    def send(self, service, method, path, body, is_idempotent, headers=None):
        """Sends one piece of work and retries as its verdicts allow.

        Non-idempotent work keeps its ticket through all tries unless a verdict NOT_RUN came with a
        fresh one.

        Returns:
          An Outcome.
        """
        start = time.monotonic()
        steering = self._find_steering(service, is_idempotent)
        ticket = steering.ticket if steering else None
        last = (None, None, b"")
        tries = 0
        while tries < MAX_TRIES and time.monotonic() - start < REQUEST_TIMEOUT_S:
            if steering is None:
                time.sleep(0.2)
                steering = self._find_steering(service, is_idempotent)
                ticket = steering.ticket if steering else None
                tries += 1
                continue
            address = steering.hosts[tries % len(steering.hosts)]
            tries += 1
            sent_headers = self._make_headers(headers, steering.route, ticket)
            last = self._try(address, service, method, path, body, sent_headers)
            status, verdict, answer_body = last
            if verdict == "RAN":
                break
            if verdict == "MAY_HAVE_RUN" and not is_idempotent:
                break
            if status is None:
                self._steering.pop(service, None)
            fresh_ticket, pause_s = _read_refusal(answer_body)
            if verdict == "NOT_RUN" and not is_idempotent:
                # The old ticket is of no more use after NOT_RUN.
                looked_up = None if fresh_ticket else self._find_steering(service, is_idempotent)
                steering = looked_up or steering
                ticket = fresh_ticket or (looked_up and looked_up.ticket)
            time.sleep(pause_s)
        status, verdict, answer_body = last
        if verdict is None and not is_idempotent:
            verdict = "MAY_HAVE_RUN"
        latency_s = time.monotonic() - start
        return Outcome(service, status, verdict, answer_body, latency_s, tries)

    def look_up_route(self, service):
        """Returns the signed route of this client for an idempotent service, or None."""
        steering = self._find_steering(service, is_idempotent=True)
        return steering.route if steering else None

    def _find_steering(self, service, is_idempotent):
        kept = self._steering.get(service)
        if is_idempotent and kept and kept.expiry > time.monotonic():
            return kept
        for address in self._lookups:
            steering = self._look_up(address, service)
            if steering:
                self._steering[service] = steering
                return steering
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
        return Steering(hosts, answer["route"], answer["ticket"], expiry)

    def _make_headers(self, headers, route, ticket):
        sent = {**(headers or {}), "Skylarksill-Route": route}
        if ticket:
            sent["Skylarksill-Ticket"] = ticket
        return sent

    def _try(self, address, service, method, path, body, headers):
        url = f"http://{address[0]}:{address[1]}/v1/{service}{path}"
        timeout = urllib3.Timeout(connect=1.0, read=REQUEST_TIMEOUT_S)
        try:
            response = self._pool.request(method, url, body=body, headers=headers, timeout=timeout)
        except urllib3.exceptions.HTTPError:
            return None, None, b""
        return response.status, response.headers.get("Skylarksill-Verdict"), response.data


def _read_refusal(body):
    """Returns the fresh ticket of an error's body, if any, and the pause before the next try."""
    try:
        refusal = json.loads(body)
    except ValueError:
        return None, 0.0
    if not isinstance(refusal, dict):
        return None, 0.0
    pause_s = min(MAX_PAUSE_S, (refusal.get("retry_after_ms") or 0) / 1000)
    return refusal.get("ticket"), pause_s
