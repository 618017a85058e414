"""Benchmarks of spoolcrank, most of them with real processes on the loopback interface."""
