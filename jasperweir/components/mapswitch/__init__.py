"""Expert maps of engine groups: demand, plans, and the safe switch."""
