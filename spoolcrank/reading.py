"""Read values that any writer may have written: whatever is wrong with one is told by one error."""

import zlib
from collections.abc import Callable
from typing import ParamSpec, TypeVar

Value = TypeVar("Value")
Params = ParamSpec("Params")

# What decoders raise for bytes that are no text, no JSON, of another shape or range, or nested
# deeper than the stack.
_MALFORMED = (ValueError, LookupError, RecursionError, zlib.error)


class Unreadable(ValueError):
    """A value that is not what its place calls for; it says nothing, and others hold."""


def reader(decode: Callable[Params, Value]) -> Callable[Params, Value]:
    """Return a decoder that raises Unreadable alone, whatever is wrong with a value."""

    def read(*args: Params.args, **kwargs: Params.kwargs) -> Value:
        try:
            return decode(*args, **kwargs)
        except _MALFORMED as exc:
            raise Unreadable(f"{type(exc).__name__}: {exc}") from exc

    return read
