"""Discovery: what entries and agents learn from the control VMs."""
