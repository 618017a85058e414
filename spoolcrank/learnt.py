"""Encode and decode the learned state that a leader stores for the next one."""

import msgspec

from spoolcrank.contention import StoredServingImage
from spoolcrank.reading import reader
from spoolcrank.step_times import QueueTimes


class Learnt(msgspec.Struct, frozen=True, array_like=True):
    """Stored state: weights of pairs of images, and times of the tasks of each queue."""

    images: tuple[StoredServingImage, ...] = ()
    times: tuple[QueueTimes, ...] = ()


encode_learnt = msgspec.json.Encoder().encode
decode_learnt = reader(msgspec.json.Decoder(Learnt).decode)
