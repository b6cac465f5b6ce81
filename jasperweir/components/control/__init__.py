"""The control VM's decisions: operations, rolls, claim views, groups."""
