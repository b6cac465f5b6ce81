"""Burn rates of the services' error budgets, and their causes."""
