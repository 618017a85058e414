"""Adapter between spoolcrank and the platform of its first users.

No module outside this package uses the platform's names, and no module in it makes scheduling
decisions.
"""
