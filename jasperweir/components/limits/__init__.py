"""Limits: admission, fair queueing per customer and retry budgets."""
