"""Confirmation: until when a configuration is known to be the newest."""
