"""Learn which fillers slow which serving tasks, and how far they may be put together.

The logarithm of a serving task's tail latency over its target is taken as a sum: a base that
follows the task's own load, plus for each filler beside it a weight of the pair of images
times the share of the instance's processors that the filler uses. The weights of one serving
image are learnt together from the reports by a Kalman filter, so that a slow tail beside
several fillers leaves open which of them it was until they are seen apart. A pair never seen
counts as the prior says.
"""

import math
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field

import msgspec

PRIOR_WEIGHT = 3.0
"""Weight of a pair never seen. Measured on two sites: about half of the pairs have 5 to 14,
the others about 0; below their mean, so that one filler at a time is tried."""

PRIOR_VARIANCE = 25.0
"""Of the weight of a pair never seen; from the same spread."""

NOISE_VARIANCE = 0.04
"""Of one report's logarithm around the sum; a report is a rough figure of half a second."""

SWING_VARIANCE = 0.16
"""Of a step's load around its image's; chosen, from reports that spread by about 0.4 alone."""

SWING_S = 5.0
"""Time in which a step's load falls back to its image's by a factor e, s: chosen. On two
deployments a task's reports one second apart correlate by 0.75, two by 0.5, noise included."""

FORGETTING = 0.002
"""Added to a weight's variance by each report that bears on it: weights drift in minutes. At 0.01
some of them followed the swing of the load, harmless to 2.5 and back within 14 s."""

IMAGE_GAIN = 0.001
"""Share of the way that the base of an image goes towards one step's load with each report; some
tens come each second, and the base is to outlast a swing."""

PRIOR_BASE = math.log(0.35)
"""Base of an image never seen alone; measured medians are 0.33 to 0.4 of the target."""

LARGEST_RESIDUAL = 1.2
"""A report further off moves the weights no more than this; single spikes reach 3."""

LEAST_SHARE = 0.005
"""A filler that uses less of the instance teaches nothing."""

LOWEST_MEAN = -2.0
"""No weight is held lower; a spell of falling load looks like a filler that helps."""

CAUTION = 0.4
"""Standard deviations by which a weight is taken higher than its mean, so that pairs of which
little is known are tried by one filler at a time."""

HARMLESS_WEIGHT = 2.5
"""A pair of a lower weight is taken as harmless; learnt weights of such pairs reach about 2."""

MODEL_VARIANCE = 0.5
"""Added to the variance of a weight when it is judged: drift and load swings are not in it."""

LEAST_BEARING = 1e-6
"""A weight that a report bears on less than this is not touched by it."""

ANY_FILLER = {"": 1.0}
"""The mix that is expected before the first filler came."""


@dataclass(slots=True)
class StepLoad:
    """The load of one lasting step: logarithm of its tasks' tail over target without fillers.

    All tasks of a step share it, wherever they run: on one deployment their tails in the
    same second correlate by 0.75 to 0.9, those of two steps by 0.05.

    Attributes:
        level: as estimated at a time; nothing is known before the first report.
        variance: of that estimate.
        at: the time, monotonic seconds.
    """

    level: float = 0.0
    variance: float = SWING_VARIANCE
    at: float | None = None

    def ahead(self, usual: float, now: float) -> tuple[float, float]:
        """Return level and variance to be expected at a time, between here and the usual."""
        if self.at is None:
            return usual, SWING_VARIANCE
        rest = math.exp(-max(0.0, now - self.at) / SWING_S)
        level = usual + (self.level - usual) * rest
        return level, SWING_VARIANCE + (self.variance - SWING_VARIANCE) * rest * rest


class LearntWeight(msgspec.Struct, frozen=True, array_like=True):
    """The stored weight of a filler image beside one serving image, with its variance."""

    filler: str
    mean: float
    variance: float


class LearntImage(msgspec.Struct, frozen=True, array_like=True):
    """What is stored of one serving image: its base alone, and the weights of fillers."""

    serving: str
    base: float
    weights: tuple[LearntWeight, ...] = ()


@dataclass(slots=True)
class _Judgement:
    """How a pair counts: how likely it is harmless, and the weight that is reckoned with."""

    harmless: float
    weight: float


def _judge(mean: float, variance: float) -> _Judgement:
    spread = math.sqrt(2.0 * (variance + MODEL_VARIANCE))
    harmless = 0.5 * (1.0 + math.erf((HARMLESS_WEIGHT - mean) / spread))
    careful = max(0.0, mean + CAUTION * math.sqrt(variance))
    return _Judgement(harmless, careful * (1.0 - harmless))


UNSEEN = _judge(PRIOR_WEIGHT, PRIOR_VARIANCE)
"""The judgement of a pair never seen together."""


@dataclass(slots=True)
class _Weights:
    """The weights of one serving image: means, covariances and judgements by filler image."""

    index: dict[str, int] = field(default_factory=dict)
    means: list[float] = field(default_factory=list)
    covariances: list[list[float]] = field(default_factory=list)
    judged: list[_Judgement] = field(default_factory=list)

    def place(self, filler: str) -> int:
        """Return the place of a filler image; a new one begins at the prior."""
        place = self.index.get(filler)
        if place is None:
            place = self.index[filler] = len(self.means)
            self.means.append(PRIOR_WEIGHT)
            for row in self.covariances:
                row.append(0.0)
            self.covariances.append([0.0] * place + [PRIOR_VARIANCE])
            self.judged.append(UNSEEN)
        return place

    def judgement(self, filler: str) -> _Judgement:
        """Return how a filler image counts."""
        place = self.index.get(filler)
        return UNSEEN if place is None else self.judged[place]

    def update(
        self, shares: list[tuple[int, float]], residual: float, other_variance: float
    ) -> float:
        """Take one residual beside fillers; returns the variance that it had in all."""
        rows = self.covariances
        bears = [sum(row[place] * share for place, share in shares) for row in rows]
        spread = other_variance + sum(bears[place] * share for place, share in shares)
        touched = [place for place, bearing in enumerate(bears) if abs(bearing) >= LEAST_BEARING]
        for place in touched:
            gain = bears[place] / spread
            # Held below 0 too: cut off there, the scatter around 0 would look like weight.
            self.means[place] = max(LOWEST_MEAN, self.means[place] + gain * residual)
            row = rows[place]
            for other in touched:
                row[other] -= gain * bears[other]
        for place, _ in shares:
            rows[place][place] += FORGETTING
        for place in touched:
            self.judged[place] = _judge(self.means[place], max(0.0, rows[place][place]))
        return spread


class Contention:
    """What one leader has learnt of the pairs of images."""

    def __init__(self) -> None:
        self._weights: dict[str, _Weights] = {}
        self._bases: dict[str, float] = {}
        self._mix: Mapping[str, float] = ANY_FILLER
        self._borne: dict[frozenset[str], float] = {}

    def learnt(self) -> tuple[LearntImage, ...]:
        """Return what the next leader should start from; how weights hang together is left out."""
        return tuple(
            LearntImage(
                serving,
                round(self.base(serving), 2),
                tuple(
                    LearntWeight(
                        filler,
                        round(held.means[place], 2),
                        round(max(0.0, held.covariances[place][place]), 2),
                    )
                    for filler, place in held.index.items()
                ),
            )
            for serving, held in self._weights.items()
        )

    def restore(self, learnt: Iterable[LearntImage]) -> None:
        """Take over what an earlier leader learnt."""
        for image in learnt:
            self._bases[image.serving] = image.base
            held = self._weights.setdefault(image.serving, _Weights())
            for one in image.weights:
                place = held.place(one.filler)
                held.means[place] = one.mean
                held.covariances[place][place] = one.variance
                held.judged[place] = _judge(one.mean, one.variance)

    def expect(self, mix: Mapping[str, float]) -> None:
        """Take the share of each filler image in what fillers want; judges pairs anew."""
        self._mix = mix or ANY_FILLER
        self._borne = {}

    def _judgement(self, serving: str, filler: str) -> _Judgement:
        held = self._weights.get(serving)
        return UNSEEN if held is None else held.judgement(filler)

    def harmless(self, serving: str, filler: str) -> float:
        """Return how likely a filler does not matter to a serving image, 0 to 1."""
        return self._judgement(serving, filler).harmless

    def belief(self, serving: str, filler: str) -> tuple[float, float]:
        """Return mean and variance of what is learnt of a pair's weight."""
        held = self._weights.get(serving)
        place = None if held is None else held.index.get(filler)
        if held is None or place is None:
            return PRIOR_WEIGHT, PRIOR_VARIANCE
        return held.means[place], held.covariances[place][place]

    def borne(self, serving: frozenset[str]) -> float:
        """Return the share of the expected fillers that likely matters to none of the images."""
        share = self._borne.get(serving)
        if share is None:
            share = self._borne[serving] = sum(
                part * math.prod(self.harmless(image, filler) for image in serving)
                for filler, part in self._mix.items()
            )
        return share

    def weight(self, serving: str, filler: str) -> float:
        """Return the weight of a pair, near 0 for one that likely does not matter."""
        return self._judgement(serving, filler).weight

    def base(self, serving: str) -> float:
        """Return the usual logarithm of tail over target of an image alone."""
        return self._bases.get(serving, PRIOR_BASE)

    def effect(self, serving: str, fillers: Iterable[tuple[str, float]]) -> float:
        """Return what fillers add to the logarithm; each is an image and its share."""
        return sum(self.weight(serving, image) * share for image, share in fillers)

    def learn(
        self, serving: str, load: StepLoad, ratio: float, fillers: dict[str, float], now: float
    ) -> None:
        """Take one report of a serving task into its step's load and the weights of its image.

        Args:
            serving: the image of the task that serves.
            load: of its step.
            ratio: its tail latency over its target, above 0.
            fillers: share of the instance that each filler image used beside it.
            now: monotonic seconds.
        """
        usual = self.base(serving)
        level, variance = load.ahead(usual, now)
        weights = self._weights.setdefault(serving, _Weights())
        seen = [
            (weights.place(image), share)
            for image, share in fillers.items()
            if share >= LEAST_SHARE
        ]
        expected = level + sum(weights.means[place] * share for place, share in seen)
        residual = math.log(ratio) - expected
        residual = max(-LARGEST_RESIDUAL, min(LARGEST_RESIDUAL, residual))
        gain = variance / weights.update(seen, residual, variance + NOISE_VARIANCE)
        load.level = level + gain * residual
        load.variance = (1.0 - gain) * variance
        load.at = now
        self._bases[serving] = usual + IMAGE_GAIN * (load.level - usual)
