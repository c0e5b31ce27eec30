"""Demo, measurements, fault matrix and randomised runs."""
