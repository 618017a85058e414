"""Encode and decode the learned state that a leader stores for the next one."""

import msgspec

from spoolcrank.contention import StoredServingImage
from spoolcrank.decoding import raises_unreadable
from spoolcrank.step_times import QueueTimes


class LearnedState(msgspec.Struct, frozen=True, array_like=True):
    """Stored state: weights of pairs of images, and times of the tasks of each queue."""

    images: tuple[StoredServingImage, ...] = ()
    times: tuple[QueueTimes, ...] = ()


encode_learned_state = msgspec.json.Encoder().encode
decode_learned_state = raises_unreadable(msgspec.json.Decoder(LearnedState).decode)
