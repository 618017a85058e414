"""Learn which fillers slow which serving tasks, and how far they may be put together.

The logarithm of a serving task's tail latency over its target is taken as a sum: a base that
follows the task's own load, plus for each filler beside it a weight of the pair of images
times the share of the instance's processors that the filler uses. Weights are learnt from the
reports by a Kalman filter with a diagonal covariance; a pair never seen counts as the prior
says.
"""

import math
from collections.abc import Iterable
from dataclasses import dataclass

PRIOR_WEIGHT = 3.0
"""Weight of a pair never seen. Measured on two sites: about half of the pairs have 5 to 14,
the others about 0; below their mean, so that one filler at a time is tried."""

PRIOR_VARIANCE = 25.0
"""Of the weight of a pair never seen; from the same spread."""

NOISE_VARIANCE = 0.08
"""Of one report's logarithm around the sum."""

FORGETTING = 0.002
"""Added to a weight's variance by each report that bears on it: weights drift in minutes."""

BASE_GAIN = 0.12
"""Share of a report's residual that moves the task's base: its load swings within some ten
seconds, several reports come each second."""

IMAGE_GAIN = 0.01
"""Share of the way that the base of an image goes towards one task's base with each report."""

PRIOR_BASE = math.log(0.35)
"""Base of an image never seen alone; measured medians are 0.33 to 0.4 of the target."""

LARGEST_RESIDUAL = 1.2
"""A report further off moves the weights no more than this; single spikes reach 3."""

LEAST_SHARE = 0.005
"""A filler that uses less of the instance teaches nothing."""


@dataclass(slots=True)
class _Weight:
    mean: float = PRIOR_WEIGHT
    variance: float = PRIOR_VARIANCE


LEAST_WEIGHT = 1.8
"""A lower weight counts as none: what is learnt of harmless pairs scatters up to it."""

LOWEST_MEAN = -2.0
"""No weight is held lower; a spell of falling load polls like a filler that helps."""


class Contention:
    """What one leader has learnt of the pairs of images."""

    def __init__(self) -> None:
        self._weights: dict[tuple[str, str], _Weight] = {}
        self._bases: dict[str, float] = {}

    def weight(self, serving: str, filler: str) -> float:
        """Return the weight of a pair, 0 for one that does not matter."""
        held = self._weights.get((serving, filler))
        if held is None:
            return PRIOR_WEIGHT
        return held.mean if held.mean >= LEAST_WEIGHT else 0.0

    def base(self, serving: str) -> float:
        """Return the usual logarithm of tail over target of an image alone."""
        return self._bases.get(serving, PRIOR_BASE)

    def effect(self, serving: str, fillers: Iterable[tuple[str, float]]) -> float:
        """Return what fillers add to the logarithm; each is an image and its share."""
        return sum(self.weight(serving, image) * share for image, share in fillers)

    def learn(
        self, serving: str, base: float | None, ratio: float, fillers: dict[str, float]
    ) -> float:
        """Take one report; returns the task's new base.

        Args:
            serving: the image of the task that serves.
            base: of this task so far, None for a new one.
            ratio: its tail latency over its target, above 0.
            fillers: share of the instance that each filler image used beside it.
        """
        if base is None:
            base = self.base(serving)
        seen = {image: share for image, share in fillers.items() if share >= LEAST_SHARE}
        weights = {image: self._weights.setdefault((serving, image), _Weight()) for image in seen}
        expected = base + sum(weights[image].mean * share for image, share in seen.items())
        residual = math.log(ratio) - expected
        residual = max(-LARGEST_RESIDUAL, min(LARGEST_RESIDUAL, residual))
        spread = NOISE_VARIANCE + sum(
            weights[image].variance * share * share for image, share in seen.items()
        )
        for image, share in seen.items():
            held = weights[image]
            gain = held.variance * share / spread
            # Held below 0 too: cut off there, the scatter around 0 would poll like weight.
            held.mean = max(LOWEST_MEAN, held.mean + gain * residual)
            held.variance = held.variance * (1.0 - gain * share) + FORGETTING
        base += BASE_GAIN * residual * NOISE_VARIANCE / spread
        of_image = self.base(serving)
        self._bases[serving] = of_image + IMAGE_GAIN * (base - of_image)
        return base
