"""A refusal that comes before a long request was read, from a worker that then closes the connection."""

import anyio
import anyio.abc
from worksramp_platform import names
from worksramp_platform.workers import PlatformWorkers

from tests.platform.served_worker import id_in, listening, status_of

LONG_BODY = b"b" * 8_000_000


async def refuse_early(stream: anyio.abc.SocketStream) -> None:
    """Refuse a request after its first bytes, then close without reading the rest."""
    async with stream:
        data = await stream.receive()
        call_id = id_in(data)
        lines = [b"HTTP/1.1 503 x", names.ATTEMPT_ID + b": " + call_id, names.NOT_EXECUTED + b": 1"]
        await stream.send(b"\r\n".join([*lines, b"content-length: 0", b"connection: close", b"", b""]))


def test_a_refusal_before_a_long_body_was_read_is_found() -> None:
    # A worker may answer and close before it has read a long call; its answer says that nothing has run.
    async def main() -> int:
        async with listening(refuse_early) as entry:
            return await status_of(PlatformWorkers(), entry, "id-1", LONG_BODY)

    assert anyio.run(main) == 503
