"""Counts from other programs, in texts and in the types of records."""

from typing import Annotated

import msgspec

#: Times in milliseconds, versions, sequence numbers and sizes stay far below this. Bounded integers keep
#: the arithmetic on them cheap, and every record can hold them.
MAX_COUNT = 2**53

Count = Annotated[int, msgspec.Meta(ge=0, le=MAX_COUNT)]
#: A time or another measure; a bound refuses NaN and infinity as well.
Amount = Annotated[float, msgspec.Meta(ge=0, le=MAX_COUNT)]

#: More digits than any count has; `int` itself refuses texts that are far longer.
MAX_DIGITS = 15


def parse_count(text: str) -> int | None:
    """Return the non-negative integer in ``text``, None if it is not one of up to `MAX_DIGITS` digits."""
    stripped = text.strip()
    # `isdigit` alone accepts superscripts, which `int` refuses.
    if not stripped.isascii() or not stripped.isdigit() or len(stripped) > MAX_DIGITS:
        return None
    return int(stripped)
