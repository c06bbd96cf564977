"""A caller's connection to a node, kept for many requests until it ends."""

from dataclasses import dataclass

import anyio
import anyio.abc
import h11

from worksramp_emulator.soak.server import CONNECTION_ERRORS

RECEIVE_SIZE_B = 65536


@dataclass(frozen=True, slots=True)
class Answer:
    """An answer as a caller has read it; names of headers are in lower case."""

    status: int
    headers: dict[str, str]
    body: bytes
    is_whole: bool


class CallerConnection:
    """Sends one request after the other on one connection."""

    def __init__(self, address: str) -> None:
        self._address = address
        self._stream: anyio.abc.SocketStream | None = None
        self._parser = h11.Connection(h11.CLIENT)

    async def exchange(
        self,
        method: str,
        target: str,
        headers: dict[str, str],
        body: bytes,
        is_chunked: bool,
        timeout_s: float,
    ) -> Answer | None:
        """Send a request, on a new connection if there is none, and read its answer, None if no head came.

        Raises:
            h11.RemoteProtocolError: the node sent what is no answer.
        """
        parts: list[bytes] = []
        head: h11.Response | None = None
        is_whole = False
        with anyio.move_on_after(timeout_s):
            try:
                await self._send(method, target, headers, body, is_chunked)
                while not is_whole:
                    event = await self._next_event()
                    if isinstance(event, h11.Response):
                        head = event
                    elif isinstance(event, h11.Data):
                        parts.append(bytes(event.data))
                    elif isinstance(event, h11.ConnectionClosed):
                        break
                    is_whole = isinstance(event, h11.EndOfMessage)
            except CONNECTION_ERRORS:
                pass
            except h11.RemoteProtocolError:
                if head is None and not self._has_ended:
                    await self.close()
                    raise
        if not is_whole or self._parser.our_state is not h11.DONE or self._parser.their_state is not h11.DONE:
            await self.close()
        if head is None:
            return None
        received = {name.decode("latin-1"): value.decode("latin-1") for name, value in head.headers}
        return Answer(head.status_code, received, b"".join(parts), is_whole)

    async def _send(
        self, method: str, target: str, headers: dict[str, str], body: bytes, is_chunked: bool
    ) -> None:
        self._has_ended = False
        if self._stream is None:
            host, _, port = self._address.rpartition(":")
            self._stream = await anyio.connect_tcp(host, int(port))
            self._parser = h11.Connection(h11.CLIENT)
        else:
            self._parser.start_next_cycle()
        framing = {"Transfer-Encoding": "chunked"} if is_chunked else {"Content-Length": str(len(body))}
        request = h11.Request(method=method, target=target, headers=list((headers | framing).items()))
        data = [self._parser.send(event) for event in (request, h11.Data(data=body), h11.EndOfMessage())]
        await self._stream.send(b"".join(part or b"" for part in data))

    async def _next_event(self) -> object:
        assert self._stream is not None
        while (event := self._parser.next_event()) is h11.NEED_DATA:
            try:
                data = await self._stream.receive(RECEIVE_SIZE_B)
            except CONNECTION_ERRORS:
                data = b""
            self._has_ended = not data
            self._parser.receive_data(data)
        return event

    async def close(self) -> None:
        """Close the connection."""
        stream, self._stream = self._stream, None
        if stream is not None:
            await stream.aclose()
