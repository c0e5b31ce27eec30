"""Stand-ins for the platform and the upstreams, used by the tests, the demo and the bench."""
