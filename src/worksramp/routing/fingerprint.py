"""Identity of a request over all its tries, and of a worker's crash over all nodes that see it.

A caller's id names one try. What makes tries the same request is what a worker is given to run.
"""

import hashlib

DIGEST_B = 8
HOST_HEADER = b"host"


def fingerprint_of(method: str, host: bytes, target: bytes, body: bytes) -> str:
    """Return a digest that is equal for equal requests, as hex text.

    A digest that callers cannot collide at will: whoever could would have the requests of others refused.

    Args:
        host: as the caller named it.
        target: path and query, byte for byte.
    """
    return _digest_of(method.encode(), host, target, body)


def crash_id_of(worker_id: str, started_ms: int) -> str:
    """Return a name for the end of a worker's start, as hex text that fits into a key of the log."""
    return _digest_of(worker_id.encode(), str(started_ms).encode())


def _digest_of(*parts: bytes) -> str:
    digest = hashlib.blake2b(digest_size=DIGEST_B)
    for part in parts:
        # With its length, so that no part runs over into the next.
        digest.update(len(part).to_bytes(8, "big"))
        digest.update(part)
    return digest.hexdigest()
