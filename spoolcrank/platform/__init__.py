"""Translate between spoolcrank and the platform of its first users.

Nothing outside this folder knows the platform's names, and nothing in it decides anything.
"""
