"""Which numbers are statuses of HTTP (RFC 9110, section 15)."""

FIRST_FINAL_STATUS, LAST_STATUS = 200, 599
SWITCHING_PROTOCOLS = 101


def is_final(status: int) -> bool:
    """Return whether a number is the status of a final answer; with any other, it is no answer."""
    return FIRST_FINAL_STATUS <= status <= LAST_STATUS
