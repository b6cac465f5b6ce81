"""The way of one request: admitted, sent, retried, answered."""
