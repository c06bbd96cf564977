"""Counts as others write them."""

#: More digits than any count has; longer texts are refused by `int` itself.
MAX_DIGITS = 15


def parse_count(text: str) -> int | None:
    """Return the whole number in ``text``, None when it is none."""
    stripped = text.strip()
    # `isdigit` alone takes superscripts, which `int` refuses.
    if not stripped.isascii() or not stripped.isdigit() or len(stripped) > MAX_DIGITS:
        return None
    return int(stripped)
