"""Builds objects, settings and requests in the platform's formats, for tests and the soak."""

import json
import re
import urllib.parse

# Site of routes and requests that name no other.
SITE = "shop.example"
# Environment variable that names a host's settings file.
SETTINGS_VARIABLE = "SKYLARKSILL_BOOT"
# Fields of a request to an upstream, in lower case, and what an answer says that was not run.
REQUEST_ID_FIELD = "x-skylarksill-request-id"
DEADLINE_FIELD = "x-skylarksill-deadline-ms"
EXPECTED_UPSTREAM_FIELD = "x-skylarksill-expect-instance"
NOT_RUN_HEADER = "X-Skylarksill-Not-Executed: 1"
# Header of the store's answers: how often it has returned from an older copy.
ERA_HEADER = "Store-Era"
# Request target at which upstreams say how they are.
HEALTH_PATH = "/health"
READINESS_REQUEST = b"GET /v1/readiness HTTP/1.1\r\nHost: host\r\nConnection: close\r\n\r\n"


def build_upstream_spec(**changes):
    """Builds the spec of an upstream's entry in the format of the platform's store."""
    spec = {
        "service": "catalogue",
        "address": "127.0.0.1:8080",
        "zone": "north-a",
        "configVersion": "v1",
        "slots": 4,
        "state": "ready",
        "coldRemaining": "0ms",
        "sequence": 4,
        "born": 1_700_000_000_000,
    }
    return {**spec, **changes}


def build_cold_fields(cold_s):
    """Builds the fields of an upstream's entry that say for how many seconds it is still cold."""
    return {"coldRemaining": f"{cold_s}s"}


def remove_cold_fields(spec):
    """Removes the fields of ``build_cold_fields`` from the spec of an upstream's entry."""
    for field in build_cold_fields(0.0):
        del spec[field]


def build_route_spec(path, kind, service="catalogue", regions=(), site=SITE):
    """Builds a route of the operators' configuration in the format of the platform's store.

    Args:
      path: Path prefix of the requests.
      kind: ``idempotent`` or ``non_idempotent``.
      service: Service that the route forwards to, or a list of services that get equal parts.
      regions: Regions that may run its requests; empty for all.
      site: Value of the ``Host`` header.
    """
    services = {"service": service}
    if isinstance(service, list):
        services = {"trafficSplit": [{"service": name, "weight": 1} for name in service]}
    return {
        "host": site,
        "pathPrefix": path,
        "kind": kind,
        "timeout": "1000ms",
        "targetLatency": "400ms",
        "priority": 1,
        **services,
        "maxAttempts": 2,
        "sticky": True,
        "allowedRegions": list(regions),
    }


def get_place(route):
    """Returns the site and the path prefix of a route's spec."""
    return route["host"], route["pathPrefix"]


def list_services(route):
    """Returns the set of services of a route's spec."""
    return frozenset(item["service"] for item in route.get("trafficSplit", [route]))


def build_configuration_spec(generation=7, service="catalogue", routes=None, cold_rate=11.0):
    """Builds the spec of the operators' configuration in the format of the platform's store."""
    fields = {
        "healthPath": HEALTH_PATH,
        "maxConnections": 330,
        "cold": "3s",
        "coldRateS": cold_rate,
    }
    return {
        "configVersion": generation,
        "routes": routes
        or {
            "r-read": build_route_spec("/read/", "idempotent", service),
            "r-order": build_route_spec("/order/", "non_idempotent", service),
        },
        "services": {service: fields},
        "limits": {
            "maxHeaderBytes": 2_000,
            "maxBodyBytes": 10_000,
            "headerTimeout": "300ms",
            "idleTimeout": "2s",
        },
    }


def build_settings_lines(ip, store, internal_port, first_port, name="edge-1", **changes):
    """Builds the lines of a settings file.

    Args:
      ip: IP address of the host.
      store: IP address and port of the store.
      internal_port: First of 16 ports for traffic between hosts.
      first_port: First of three ports for clients, readiness and lookups.
      name: Name of the host.
      changes: Overrides of zone, regions (dict of region by zone) and seeds (addresses).
    """
    zone = changes.get("zone", "north-a")
    regions = changes.get("regions", {"north-a": "north"})
    seeds = ",".join(f"{host}:{port}" for host, port in changes.get("seeds", ()))
    return [
        f"self.node={name}",
        f"self.ip={ip}",
        f"self.zone={zone}",
        f"self.region={regions[zone]}",
        "self.limits.memoryMb=300",
        f"network.listen.front={ip}:{first_port}",
        f"network.listen.ready={ip}:{first_port + 1}",
        f"network.listen.directory={ip}:{first_port + 2}",
        f"network.internalPorts={internal_port},{internal_port + 15}",
        f"network.seeds={seeds}",
        *[f"network.zones.{known}={region}" for known, region in regions.items()],
        f"platform.platform.address={store[0]}:{store[1]}",
        "terms.bounds.contact=4000ms",
        "terms.bounds.drain=2500ms",
        "terms.bounds.grace=3s",
        "terms.bounds.retryBudgetRatio=0.2",
        "terms.bounds.budgetWindow=10s",
        "terms.bounds.retryBudgetExtra=58",
        "terms.bounds.coldOverage=1.5",
        "terms.bounds.coldTolerance=5",
        "terms.bounds.ttl_max=5s",
        "terms.bounds.maxShift=0.15",
        "terms.bounds.configApply=2500ms",
    ]


def build_answer_body(upstream_id, request_id, target):
    """Builds the body with which a stand-in answers; ``/64kb/`` in the target asks for 64 KiB."""
    body = f"{upstream_id}:{request_id}".encode()
    return body.ljust(1024 * _find_number(target, "kb"), b".")


def find_work_s(target):
    """Returns the time of work that a target such as ``/long/700ms/1`` asks for, or 0."""
    return _find_number(target, "ms") / 1000


def _find_number(target, unit):
    found = re.search(rf"/(\d+){unit}/", target)
    return int(found[1]) if found else 0


def format_request(
    line,
    request_id,
    body=None,
    headers=(),
    key="17",
    deadline_ms=2000,
    site=SITE,
    version="HTTP/1.1",
):
    """Returns the bytes of a client's request; ``deadline_ms`` is the time until its deadline."""
    lines = [
        f"{line} {version}",
        f"Host: {site}",
        f"X-Skylarksill-Request-Id: {request_id}",
        f"X-Skylarksill-Deadline-Ms: {deadline_ms}",
        f"Cookie: X-Skylarksill-Affinity-Key={key}",
        *headers,
    ]
    if body is not None:
        lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + (body or b"")


def format_lookup(region, zone):
    """Formats a client's lookup of the hosts that it may use."""
    query = urllib.parse.urlencode({"region": region, "zone": zone})
    return f"GET /v1/resolve?{query} HTTP/1.1\r\nHost: host\r\n\r\n".encode()


def parse_lookup(body):
    """Returns the addresses in the answer to a lookup, as text, and their lifetime in seconds."""
    answer = json.loads(body)
    return answer["addresses"], float(answer["ttl"].removesuffix("ms")) / 1000


def format_load(running, waiting, slots, pace=1.0):
    """Formats the header that states the load of an upstream.

    Args:
      running: Number of requests that run.
      waiting: Number of requests that wait.
      slots: Number of requests that can run at a time.
      pace: Time that work takes, as a multiple of the usual time.
    """
    return f"X-Skylarksill-Server-Load: {running},{waiting},{slots},{int(100 * pace)}"


def is_signed(headers):
    """Returns True if an answer's headers contain the signature of an upstream."""
    return "x-skylarksill-response-seal" in headers


def parse_fields(head):
    """Returns the headers of a message's head as a dict of text by lower-case name."""
    lines = head.decode().split("\r\n")[1:]
    pairs = (line.partition(":") for line in lines)
    return {name.strip().lower(): value.strip() for name, _, value in pairs}


class AnswerReader:
    """Reads HTTP answers from the connection of a client."""

    def __init__(self, client):
        self._client = client
        self._data = b""

    def read(self):
        """Returns status, dict of headers and body of the next final answer.

        Raises:
          EOFError: If the connection ends before the answer is complete.
        """
        status, head = self._read_head()
        while 100 <= status < 200:
            # An interim response has no body, and clients that expect none discard it.
            status, head = self._read_head()
        headers = parse_fields(head)
        size = int(headers["content-length"])
        while len(self._data) < size:
            self._receive()
        body, self._data = self._data[:size], self._data[size:]
        return status, headers, body

    def _read_head(self):
        """Returns the status of the next answer and its head."""
        while b"\r\n\r\n" not in self._data:
            self._receive()
        head, _, self._data = self._data.partition(b"\r\n\r\n")
        return int(head.split()[1]), head

    def is_at_end(self):
        """Waits for more bytes; returns True if the host closes the connection without any."""
        if self._data:
            return False
        return self._client.recv(1) == b""

    def _receive(self):
        data = self._client.recv(65536)
        if not data:
            raise EOFError(f"connection ended after {self._data!r}")
        self._data += data
