"""Builds the deployments of the queueing model from the example configurations."""

import dataclasses
import pathlib

from bench import queue_model
from skylarksill import configuration

DEPLOYMENTS = ("cedarwake", "riunita")
ZONE_DELAYS_S = {"cedarwake": 0.0015, "riunita": 0.0005}

_EXAMPLES = pathlib.Path(__file__).resolve().parent.parent / "examples"


def load_configuration(deployment, max_deadline_ms=None):
    """Reads the example configuration of a deployment.

    Args:
      deployment: One of DEPLOYMENTS.
      max_deadline_ms: Replaces the maximum deadline of every service, unless it is None.
    Returns:
      A Configuration.
    Raises:
      ValueError: If the example is not valid.
    """
    path = _EXAMPLES / f"{deployment}-configuration.ini"
    parsed, problems = configuration.parse_configuration(path.read_text(encoding="utf-8"))
    if problems:
        raise ValueError(f"{path.name}: {problems[0]}")
    if max_deadline_ms is None:
        return parsed
    services = tuple(
        dataclasses.replace(service, max_deadline_ms=max_deadline_ms) for service in parsed.services
    )
    return dataclasses.replace(parsed, services=services)


def make_place(parsed):
    """Returns the Place with the upstreams of all services of a Configuration."""
    regions = {zone.zone_id: zone.region_id for zone in parsed.zones}
    sites = tuple(
        queue_model.Site(
            upstream.upstream_id,
            upstream.zone_id,
            regions[upstream.zone_id],
            upstream.slots,
            upstream.service_id,
        )
        for upstream in parsed.upstreams
    )
    region_delay_s = parsed.links[0].delay_ms / 1000
    zone_delay_s = ZONE_DELAYS_S[parsed.deployment]
    return queue_model.Place(parsed.deployment, sites, zone_delay_s, region_delay_s)
