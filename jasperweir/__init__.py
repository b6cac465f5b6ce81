"""Load balancer for expert-parallel model groups at many small sites."""

__version__ = "0.1.0"
