"""Identifies a request across retries, and a worker's crash across all nodes that observe it.

The caller uses a new request id for each retry. Retries of a request are recognised by what a worker is given
to run.
"""

import hashlib

DIGEST_B = 8
HOST_HEADER = b"host"


def fingerprint_of(method: str, host: bytes, target: bytes, body: bytes) -> str:
    """Return a digest that is equal for equal requests, as hex text.

    A cryptographic hash is used, so that a caller cannot construct a request that collides with another
    caller's and thereby have that one refused.

    Args:
        host: host as sent by the caller.
        target: path and query, byte for byte.
    """
    return _digest_of(method.encode(), host, target, body)


def crash_id_of(worker_id: str, started_ms: int) -> str:
    """Return an id for the crash of one start of a worker, as hex text that is valid in a log key."""
    return _digest_of(worker_id.encode(), str(started_ms).encode())


def _digest_of(*parts: bytes) -> str:
    digest = hashlib.blake2b(digest_size=DIGEST_B)
    for part in parts:
        # The length prefix makes the boundaries between the parts unambiguous.
        digest.update(len(part).to_bytes(8, "big"))
        digest.update(part)
    return digest.hexdigest()
