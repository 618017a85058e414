"""Store what a leader has learnt, for the next one."""

import msgspec

from spoolcrank.contention import LearntImage
from spoolcrank.reading import reader
from spoolcrank.step_times import LearntTimes


class Learnt(msgspec.Struct, frozen=True, array_like=True):
    """What is stored: weights of pairs of images, and the times of queues' tasks."""

    images: tuple[LearntImage, ...] = ()
    times: tuple[LearntTimes, ...] = ()


encode_learnt = msgspec.json.Encoder().encode
decode_learnt = reader(msgspec.json.Decoder(Learnt).decode)
