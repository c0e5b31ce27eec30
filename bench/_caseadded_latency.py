"""Latency that the path adds to a request, measured in real time with whole processes."""

from bench import _figures, added_latency, queue_model


def measure(deployment):
    """Returns the figures of the case."""
    direct, steered, memory, _ = added_latency.measure(deployment, _figures.OUT / "latency")
    direct_ms, steered_ms = [
        queue_model.compute_percentile(values, 50) for values in (direct, steered)
    ]
    added_ms = steered_ms - direct_ms
    memory_mb = sum(memory.values()) / 1e6
    _figures.draw_bars(
        f"added_latency-{deployment}",
        "Median latency in ms",
        {"upstream called directly": direct_ms, "through entry and dispatch": steered_ms},
    )
    return [
        _figures.bound_most(
            "added_latency:p50_ms", deployment, added_ms, added_latency.BOUND_MS, direct_ms
        ),
        _figures.bound_most("added_latency:host_mb", deployment, memory_mb, 128),
    ]
