"""Parse counts in texts from other programs."""

#: More digits than any count has; `int` itself refuses texts that are far longer.
MAX_DIGITS = 15


def parse_count(text: str) -> int | None:
    """Return the non-negative integer in ``text``, None if it is not one of up to `MAX_DIGITS` digits."""
    stripped = text.strip()
    # `isdigit` alone accepts superscripts, which `int` refuses.
    if not stripped.isascii() or not stripped.isdigit() or len(stripped) > MAX_DIGITS:
        return None
    return int(stripped)
