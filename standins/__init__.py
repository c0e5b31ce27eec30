"""Small stand-ins for the platform and the upstreams, used by tests, the demo and bench."""
