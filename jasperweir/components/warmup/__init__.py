"""Cold targets: which targets are cold, and the rate that they may get."""
