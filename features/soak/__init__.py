"""Randomized soak test of real processes with injected faults."""
