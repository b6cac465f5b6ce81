"""Shared helpers that hold no decision of their own."""
