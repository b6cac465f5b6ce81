"""Forwarding of one request: admission, sends, retries and the response."""
