"""Test doubles of the systems around jasperweir, not in the product."""
