"""A soak of the real programs: daemons, store and runners as processes, faults from outside."""
