"""Fault soak: real host programs on loopback under a seeded series of faults."""
