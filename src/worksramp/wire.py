"""Encode and decode the records that nodes store in the shared log: msgpack of msgspec structs."""

from typing import Any, TypeVar

import msgspec

StructT = TypeVar("StructT")

_encoder = msgspec.msgpack.Encoder()


def encode(value: Any) -> bytes:
    """Return the msgpack bytes of a struct."""
    return _encoder.encode(value)


def decode(data: bytes, struct_type: type[StructT]) -> StructT:
    """Return the struct in ``data``.

    Args:
        data: msgpack bytes.
        struct_type: type of the struct.

    Raises:
        msgspec.DecodeError: the bytes are damaged or those of another type.
    """
    try:
        return msgspec.msgpack.decode(data, type=struct_type)
    except RecursionError as error:
        raise msgspec.DecodeError("nested too deeply") from error
    except UnicodeDecodeError as error:
        raise msgspec.DecodeError(f"not UTF-8: {error.reason}") from error
