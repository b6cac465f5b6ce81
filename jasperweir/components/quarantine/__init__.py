"""Requests under which targets end, and how they are kept from the others."""
