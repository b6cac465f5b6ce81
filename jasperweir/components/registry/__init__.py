"""State machine of the replicated log: bundles, rolls, views, appointments."""
