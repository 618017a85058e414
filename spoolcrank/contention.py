"""Model which fillers slow down which serving tasks, to decide which may share a runner.

The logarithm of the ratio of a serving task's tail latency to its target is modelled as a sum:
a base that follows the task's own load, plus, for each filler on the same runner, the weight of
the pair of images times the share of the runner's processors that the filler uses. A Kalman
filter estimates all weights of one serving image together from the reports: while a high tail
latency occurs with several fillers present, it remains open which of them causes it until
reports with different combinations arrive. A pair that was never observed has the prior weight.
"""

import math
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field

from spoolcrank.learned_state import StoredServingImage, StoredWeight

PRIOR_WEIGHT = 3.0
"""Mean weight of a pair that was never observed; fillers of such a pair are tried one at a time."""

PRIOR_VARIANCE = 25.0
"""Variance of the weight of a pair that was never observed."""

NOISE_VARIANCE = 0.04
"""Variance of the logarithm in one report around the modelled sum. A report covers only half a
second and is imprecise."""

LOAD_VARIANCE = 0.16
"""Variance of a step's load around the base of its image."""

LOAD_DECAY_S = 5.0
"""Time constant, in seconds, of the exponential return of a step's load to the base of its
image."""

WEIGHT_DRIFT_VARIANCE = 0.002
"""Variance that each report adds to the weights of the fillers in it, because weights drift over
minutes. A larger value would let weights follow the load of the step."""

BASE_GAIN = 0.001
"""Fraction by which each report moves the base of an image towards the load of the step. Some tens
of reports arrive each second, and the base must not follow short fluctuations of the load."""

PRIOR_BASE = math.log(0.35)
"""Base of an image without reports: the logarithm of the ratio of tail latency to target."""

MAX_RESIDUAL = 1.2
"""Limit of the residual of one report, so that outliers do not dominate."""

MIN_SHARE = 0.005
"""Share of the runner's processors below which a filler is left out of an update."""

MIN_MEAN_WEIGHT = -2.0
"""Lower limit of a mean weight. A period of falling load looks like a filler that reduces tail
latency."""

CAUTION_DEVIATIONS = 0.4
"""Standard deviations added to the mean of a weight, so that fillers of a pair with few
observations are tried one at a time."""

HARMLESS_WEIGHT_LIMIT = 2.5
"""Weight below which a pair is harmless."""

JUDGEMENT_VARIANCE = 0.5
"""Variance added to that of a weight for its judgement, because the filter's variance does not
cover drift and load fluctuations."""

MIN_CROSS_COVARIANCE = 1e-6
"""Covariance with the modelled sum below which a report leaves a weight unchanged."""

UNKNOWN_FILLER_MIX = {"": 1.0}
"""Expected filler mix until the first filler is known."""


@dataclass(slots=True)
class StepLoad:
    """Load of one lasting step: logarithm of tail latency over target, without fillers.

    All tasks of a step share it, on whichever runner they run, as their users' requests are spread
    over them.

    Attributes:
        level: the estimate; meaningless before the first report.
        variance: variance of the estimate.
        at: time of the estimate, monotonic seconds; None before the first report.
    """

    level: float = 0.0
    variance: float = LOAD_VARIANCE
    at: float | None = None

    def predict(self, usual_level: float, now: float) -> tuple[float, float]:
        """Return the level and variance expected at `now`; the level decays to the usual one."""
        if self.at is None:
            return usual_level, LOAD_VARIANCE
        decay = math.exp(-max(0.0, now - self.at) / LOAD_DECAY_S)
        level = usual_level + (self.level - usual_level) * decay
        return level, LOAD_VARIANCE + (self.variance - LOAD_VARIANCE) * decay * decay


@dataclass(slots=True)
class _Judgement:
    """Assessment of a pair: the probability that it is harmless, and the weight to assume."""

    harmless: float
    weight: float


def _judge(mean: float, variance: float) -> _Judgement:
    spread = math.sqrt(2.0 * (variance + JUDGEMENT_VARIANCE))
    harmless = 0.5 * (1.0 + math.erf((HARMLESS_WEIGHT_LIMIT - mean) / spread))
    cautious = max(0.0, mean + CAUTION_DEVIATIONS * math.sqrt(variance))
    return _Judgement(harmless, cautious * (1.0 - harmless))


PRIOR_JUDGEMENT = _judge(PRIOR_WEIGHT, PRIOR_VARIANCE)
"""Judgement of a pair that was never observed."""


@dataclass(slots=True)
class _Weights:
    """Weights of one serving image: means, covariances and judgements by filler image."""

    index: dict[str, int] = field(default_factory=dict)
    means: list[float] = field(default_factory=list)
    covariances: list[list[float]] = field(default_factory=list)
    judgements: list[_Judgement] = field(default_factory=list)

    def position(self, filler: str) -> int:
        """Return the matrix position of a filler image; add a new one with the prior."""
        position = self.index.get(filler)
        if position is None:
            position = self.index[filler] = len(self.means)
            self.means.append(PRIOR_WEIGHT)
            for row in self.covariances:
                row.append(0.0)
            self.covariances.append([0.0] * position + [PRIOR_VARIANCE])
            self.judgements.append(PRIOR_JUDGEMENT)
        return position

    def judgement(self, filler: str) -> _Judgement:
        """Return the judgement of a filler image, or the prior's if it was never observed."""
        position = self.index.get(filler)
        return PRIOR_JUDGEMENT if position is None else self.judgements[position]

    def update(
        self, shares: list[tuple[int, float]], residual: float, other_variance: float
    ) -> float:
        """Apply one residual to all weights that it depends on; return its total variance.

        Args:
            shares: matrix position and processor share of each filler.
            residual: measured minus expected logarithm.
            other_variance: variance of the residual that is not due to the weights.
        """
        rows = self.covariances
        cross_covariances = [
            sum(row[position] * share for position, share in shares) for row in rows
        ]
        total_variance = other_variance + sum(
            cross_covariances[position] * share for position, share in shares
        )
        affected = [
            position
            for position, cross_covariance in enumerate(cross_covariances)
            if abs(cross_covariance) >= MIN_CROSS_COVARIANCE
        ]
        for position in affected:
            gain = cross_covariances[position] / total_variance
            # Means may be negative: clipped at 0, the noise around 0 would add up to a weight.
            self.means[position] = max(MIN_MEAN_WEIGHT, self.means[position] + gain * residual)
            row = rows[position]
            for other in affected:
                row[other] -= gain * cross_covariances[other]
        for position, _ in shares:
            rows[position][position] += WEIGHT_DRIFT_VARIANCE
        for position in affected:
            self.judgements[position] = _judge(
                self.means[position], max(0.0, rows[position][position])
            )
        return total_variance


class ContentionModel:
    """One leader's model of how filler images affect serving images."""

    def __init__(self) -> None:
        self._weights: dict[str, _Weights] = {}
        self._bases: dict[str, float] = {}
        self._mix: Mapping[str, float] = UNKNOWN_FILLER_MIX
        self._tolerated_shares: dict[frozenset[str], float] = {}

    def learned_state(self) -> tuple[StoredServingImage, ...]:
        """Return the state for the next leader, without the covariances between weights."""
        return tuple(
            StoredServingImage(
                serving,
                round(self.base(serving), 2),
                tuple(
                    StoredWeight(
                        filler,
                        round(weights.means[position], 2),
                        round(max(0.0, weights.covariances[position][position]), 2),
                    )
                    for filler, position in weights.index.items()
                ),
            )
            for serving, weights in self._weights.items()
        )

    def restore(self, images: Iterable[StoredServingImage]) -> None:
        """Load the state that an earlier leader stored."""
        for image in images:
            self._bases[image.serving] = image.base
            weights = self._weights.setdefault(image.serving, _Weights())
            for weight in image.weights:
                position = weights.position(weight.filler)
                weights.means[position] = weight.mean
                weights.covariances[position][position] = weight.variance
                weights.judgements[position] = _judge(weight.mean, weight.variance)

    def set_expected_fillers(self, mix: Mapping[str, float]) -> None:
        """Set the share of each filler image in the total demand, and clear cached shares."""
        self._mix = mix or UNKNOWN_FILLER_MIX
        self._tolerated_shares = {}

    def _judgement(self, serving: str, filler: str) -> _Judgement:
        weights = self._weights.get(serving)
        return PRIOR_JUDGEMENT if weights is None else weights.judgement(filler)

    def harmless(self, serving: str, filler: str) -> float:
        """Return the probability that a filler image does not slow a serving image, 0 to 1."""
        return self._judgement(serving, filler).harmless

    def weight_estimate(self, serving: str, filler: str) -> tuple[float, float]:
        """Return the mean and variance of a pair's weight."""
        weights = self._weights.get(serving)
        position = None if weights is None else weights.index.get(filler)
        if weights is None or position is None:
            return PRIOR_WEIGHT, PRIOR_VARIANCE
        return weights.means[position], weights.covariances[position][position]

    def tolerated_share(self, serving: frozenset[str]) -> float:
        """Return the share of the expected fillers that likely slows none of the images."""
        share = self._tolerated_shares.get(serving)
        if share is None:
            share = self._tolerated_shares[serving] = sum(
                fraction * math.prod(self.harmless(image, filler) for image in serving)
                for filler, fraction in self._mix.items()
            )
        return share

    def weight(self, serving: str, filler: str) -> float:
        """Return the weight to assume for a pair, near 0 for one that is likely harmless."""
        return self._judgement(serving, filler).weight

    def base(self, serving: str) -> float:
        """Return the usual logarithm of tail latency over target of an image without fillers."""
        return self._bases.get(serving, PRIOR_BASE)

    def effect(self, serving: str, fillers: Iterable[tuple[str, float]]) -> float:
        """Return the sum that fillers add to the logarithm, from each one's image and share."""
        return sum(self.weight(serving, image) * share for image, share in fillers)

    def learn(
        self, serving: str, load: StepLoad, ratio: float, fillers: dict[str, float], now: float
    ) -> None:
        """Update the load of a step and the weights of its image from one report.

        Args:
            serving: image of the serving task.
            load: load of the task's step; updated in place.
            ratio: tail latency of the task over its target, above 0.
            fillers: share of the runner's processors that each filler image used.
            now: monotonic seconds.
        """
        usual_level = self.base(serving)
        level, variance = load.predict(usual_level, now)
        weights = self._weights.setdefault(serving, _Weights())
        known_shares = [
            (weights.position(image), share)
            for image, share in fillers.items()
            if share >= MIN_SHARE
        ]
        expected = level + sum(weights.means[position] * share for position, share in known_shares)
        residual = math.log(ratio) - expected
        residual = max(-MAX_RESIDUAL, min(MAX_RESIDUAL, residual))
        gain = variance / weights.update(known_shares, residual, variance + NOISE_VARIANCE)
        load.level = level + gain * residual
        load.variance = (1.0 - gain) * variance
        load.at = now
        self._bases[serving] = usual_level + BASE_GAIN * (load.level - usual_level)
