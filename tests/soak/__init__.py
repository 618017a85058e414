"""Soak test of the real programs as processes: daemons, a store and runners, with faults."""
