"""Decode values of untrusted writers, with one error for every kind of malformed value."""

import zlib
from collections.abc import Callable
from typing import ParamSpec, TypeVar

Value = TypeVar("Value")
Params = ParamSpec("Params")

# Decoders raise these for bytes that are not text or not JSON, have another structure or range, or
# are nested deeper than the stack allows.
_MALFORMED = (ValueError, LookupError, RecursionError, zlib.error)


class Unreadable(ValueError):
    """A malformed value; it is ignored and does not affect other values."""


def raises_unreadable(decode: Callable[Params, Value]) -> Callable[Params, Value]:
    """Wrap a decoder so that it raises Unreadable for every kind of malformed value."""

    def decode_or_raise(*args: Params.args, **kwargs: Params.kwargs) -> Value:
        try:
            return decode(*args, **kwargs)
        except _MALFORMED as exc:
            raise Unreadable(f"{type(exc).__name__}: {exc}") from exc

    return decode_or_raise
