"""Load the schema of the messages between instances, and write and read its structs."""

from pathlib import Path
from typing import Any

import thriftpy2
from thriftpy2.protocol.binary import TBinaryProtocol
from thriftpy2.transport import TMemoryBuffer

try:
    from thriftpy2.protocol.cybin import TCyBinaryProtocol as _Protocol  # type: ignore[attr-defined]
    from thriftpy2.transport import TCyMemoryBuffer as _Buffer
except ImportError:
    _Protocol = TBinaryProtocol
    _Buffer = TMemoryBuffer

SCHEMA: Any = thriftpy2.load(
    str(Path(__file__).with_name("peer.thrift")), module_name="spoolcrank_peer_thrift"
)


def write_struct(struct: Any) -> bytes:
    """Return a struct of the schema in the binary protocol."""
    buffer = _Buffer()
    _Protocol(buffer).write_struct(struct)
    raw: bytes = buffer.getvalue()
    return raw


def read_struct(raw: bytes, into: Any) -> None:
    """Read a struct of the schema; the library raises errors of many kinds if it is malformed."""
    _Protocol(_Buffer(raw)).read_struct(into)


def as_bytes(value: Any) -> bytes:
    """Return a binary field, which the library decodes as text where it can."""
    if isinstance(value, str):
        return value.encode("utf-8", "surrogateescape")
    return bytes(value or b"")
