"""Arithmetic on amounts of processors, memory and accelerators."""

from collections.abc import Iterable
from typing import NamedTuple

_EPSILON = 1e-6


class Resources(NamedTuple):
    """Amount of an instance's resources.

    Attributes:
        processors: cores, fractions allowed.
        memory_mb: megabytes.
        accelerators: number of whole devices.
    """

    processors: float = 0.0
    memory_mb: float = 0.0
    accelerators: int = 0

    def plus(self, other: "Resources") -> "Resources":
        """Return the sum of both amounts."""
        return Resources(
            self.processors + other.processors,
            self.memory_mb + other.memory_mb,
            self.accelerators + other.accelerators,
        )

    def minus(self, other: "Resources") -> "Resources":
        """Return the difference of both amounts, which may be negative."""
        return Resources(
            self.processors - other.processors,
            self.memory_mb - other.memory_mb,
            self.accelerators - other.accelerators,
        )

    def fits_in(self, capacity: "Resources") -> bool:
        """Return whether every part of this amount is within `capacity`."""
        return (
            self.processors <= capacity.processors + _EPSILON
            and self.memory_mb <= capacity.memory_mb + _EPSILON
            and self.accelerators <= capacity.accelerators
        )


NO_RESOURCES = Resources()


def total(amounts: Iterable[Resources]) -> Resources:
    """Return the sum of all amounts."""
    result = NO_RESOURCES
    for amount in amounts:
        result = result.plus(amount)
    return result
