"""Encoding of the records and messages that nodes keep and exchange: msgpack of msgspec structs."""

from typing import Any, TypeVar

import msgspec

StructT = TypeVar("StructT")

_encoder = msgspec.msgpack.Encoder()


def encode(value: Any) -> bytes:
    """Return the bytes of a struct."""
    return _encoder.encode(value)


def decode(data: bytes, kind: type[StructT]) -> StructT:
    """Return the struct in ``data``.

    Raises:
        msgspec.DecodeError: the bytes are damaged or of another kind.
    """
    return msgspec.msgpack.decode(data, type=kind)
