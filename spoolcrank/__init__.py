"""Schedule latency-critical services and batch work on the same instances."""

__version__ = "0.1.0"
