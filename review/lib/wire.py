"""Reading of HTTP messages, and the settings and specs of the pages."""

import time


async def read_head(reader):
    """Returns the first line of a message and a dict of its headers by lower-case name.

    Raises:
      EOFError: If the connection ends before the head is complete.
    """
    data = await reader.readuntil(b"\r\n\r\n")
    first, *lines = data[:-4].decode("latin-1").split("\r\n")
    pairs = (line.partition(":") for line in lines)
    return first, {name.strip().lower(): value.strip() for name, _, value in pairs}


async def read_answer(reader):
    """Returns status, headers and body of an answer that has a length."""
    first, fields = await read_head(reader)
    body = await reader.readexactly(int(fields["content-length"]))
    return int(first.split(" ")[1]), fields, body


class Record:
    """What was sent, answered and run, in ``record.txt``."""

    def __init__(self, path):
        self._file = open(path, "w", encoding="utf-8")  # noqa: SIM115
        self._began = time.monotonic()

    def now(self):
        """Returns the seconds since the start."""
        return time.monotonic() - self._began

    def write(self, text):
        """Writes a line with the time in seconds."""
        self._file.write(f"{self.now():9.3f} {text}\n")
        self._file.flush()


def build_route(path, kind, service, **changes):
    """Builds a route of the operator's configuration."""
    route = {
        "host": "jepu9.example",
        "pathPrefix": path,
        "kind": kind,
        "timeout": "1200ms",
        "targetLatency": "400ms",
        "priority": 1,
        "service": service,
        "maxAttempts": 2,
        "sticky": True,
        "allowedRegions": [],
    }
    return {**route, **changes}


def build_configuration(version, routes, services):
    """Builds the operator's configuration as the wire examples show it."""
    service = {
        "healthPath": "/health",
        "maxConnections": 330,
        "protocol": "h1",
        "tls": False,
        "cold": "3s",
        "coldRateS": 11.0,
    }
    return {
        "configVersion": version,
        "routes": routes,
        "services": dict.fromkeys(services, service),
        "limits": {
            "maxHeaderBytes": 16384,
            "maxBodyBytes": 67108864,
            "headerTimeout": "3000ms",
            "idleTimeout": "15000ms",
        },
    }


def build_settings(name, ip, zone, regions, ports, store, seeds):
    """Builds the lines of a settings file as the wire examples show it."""
    lines = {
        "self.node": name,
        "self.role": "host",
        "self.machineClass": "edge",
        "self.serves": "edge,control,directory",
        "self.ip": ip,
        "self.zone": zone,
        "self.region": regions[zone],
        "self.inTolerance": "false",
        "self.bootstrap": "true",
        "self.limits.cpuShare": "0.86",
        "self.limits.cores": "1",
        "self.limits.memoryMb": "300",
        "self.limits.maxFds": "4100",
        "self.limits.linkMbps": "1000.0",
        "self.limits.diskMb": "0",
        "network.listen.front": f"{ip}:{ports['front']}",
        "network.listen.ready": f"{ip}:{ports['ready']}",
        "network.listen.control": f"{ip}:{ports['control']}",
        "network.listen.directory": f"{ip}:{ports['directory']}",
        "network.internalPorts": f"{ports['internal']},{ports['internal'] + 15}",
        "network.seeds": ",".join(f"{seed}:{ports['control']}" for seed in seeds),
        **{f"network.zones.{zone}": region for zone, region in regions.items()},
        "platform.discovery": "platform",
        "platform.entry": "directory",
        "platform.heartbeat": "1500ms",
        "platform.platform.address": f"{store[0]}:{store[1]}",
        "platform.platform.form": "objects",
        "platform.platform.writesPerS": "400",
        "platform.platform.readsPerS": "2000",
        "platform.platform.history": "20s",
        "platform.platform.valueBytes": "1048576",
        "platform.platform.minTtl": "1000ms",
        "terms.contracts": "base,drain,config,cost,retry,recover,places,platform",
        "terms.tolerate.machines": "2",
        "terms.tolerate.zones": "1",
        "terms.tolerate.regions": "1",
        "terms.bounds.seedLag": "3s",
        "terms.bounds.reuseDelay": "2s",
        "terms.bounds.contact": "4000ms",
        "terms.bounds.ack": "5000ms",
        "terms.bounds.catchUp": "4s",
        "terms.bounds.drain": "2500ms",
        "terms.bounds.grace": "6s",
        "terms.bounds.lossSlack": "200ms",
        "terms.bounds.configApply": "2500ms",
        "terms.bounds.rollbackSlack": "250ms",
        "terms.bounds.maxSkew": "6000ms",
        "terms.bounds.retryBudgetRatio": "0.2",
        "terms.bounds.budgetWindow": "10s",
        "terms.bounds.retryBudgetExtra": "58",
        "terms.bounds.coldOverage": "1.5",
        "terms.bounds.coldTolerance": "5",
        "terms.bounds.evacuate": "5000ms",
        "terms.bounds.recovery": "15s",
        "terms.bounds.ttl_max": "5s",
        "terms.bounds.maxShift": "0.15",
    }
    return "".join(f"{name}={value}\n" for name, value in lines.items())
