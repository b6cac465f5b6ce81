"""Limits: admission, fair shares by customer, retry budgets."""
