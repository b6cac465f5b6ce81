"""Which targets and nodes exist, as they announce themselves."""
