"""Encode and decode the learned state that a leader stores for the next one."""

import msgspec

from spoolcrank.decoding import raises_unreadable
from spoolcrank.workflow import RouteName


class StoredWeight(msgspec.Struct, frozen=True, array_like=True):
    """Stored weight of a filler image for one serving image, with its variance."""

    filler: str
    mean: float
    variance: float


class StoredServingImage(msgspec.Struct, frozen=True, array_like=True):
    """Stored model of one serving image: its base without fillers and the weights of fillers."""

    serving: str
    base: float
    weights: tuple[StoredWeight, ...] = ()


class QueueTimes(msgspec.Struct, array_like=True):
    """Weighted sums over a queue's ended tasks: points, x, y, x squared, x times y.

    x is the logarithm of the estimate, y of the time, both in ms.
    """

    queue: RouteName
    points: float = 0.0
    x: float = 0.0
    y: float = 0.0
    xx: float = 0.0
    xy: float = 0.0


class LearnedState(msgspec.Struct, frozen=True, array_like=True):
    """Stored state: weights of pairs of images, and times of the tasks of each queue."""

    images: tuple[StoredServingImage, ...] = ()
    times: tuple[QueueTimes, ...] = ()


encode_learned_state = msgspec.json.Encoder().encode
decode_learned_state = raises_unreadable(msgspec.json.Decoder(LearnedState).decode)
