"""Groups of ranks: which target belongs to which, and which are open."""
