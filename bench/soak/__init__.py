"""Fault soak: runs real host programs on loopback under faults drawn from a seed."""
