"""Expert maps: popularity, placement, and one map per step in a group."""
