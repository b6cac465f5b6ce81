"""Discovery of targets and nodes from their announcements."""
