"""Shared helpers: transport, codecs, settings, logs and metrics."""
