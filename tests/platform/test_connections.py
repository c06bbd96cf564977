"""Which failed connections count as refused by the peer itself.

Guards against a network without a route being taken for a worker process that has ended.
"""

import errno

import anyio
import pytest
from worksramp_platform.http_calls import CallTimeouts, HttpClient, Target

from tests.platform.test_process import free_address
from worksramp.connections.errors import NoConnectionError


async def failure_of(address: str) -> NoConnectionError:
    client = HttpClient(1, 1, 1.0)
    with pytest.raises(NoConnectionError) as caught:
        await client.call("GET", Target(address, b"/"), [(b"host", b"h")], b"", CallTimeouts(1.0))
    return caught.value


def test_a_closed_port_refuses() -> None:
    assert anyio.run(failure_of, free_address()).is_refusal


@pytest.mark.parametrize("code", [errno.EHOSTUNREACH, errno.ENETUNREACH, errno.EADDRNOTAVAIL])
def test_a_missing_route_is_no_refusal(code: int, monkeypatch: pytest.MonkeyPatch) -> None:
    async def fail(*args: object, **kwargs: object) -> None:
        raise OSError("All connection attempts failed") from OSError(code, "unreachable")

    monkeypatch.setattr(anyio, "connect_tcp", fail)
    assert not anyio.run(failure_of, "127.0.0.1:1").is_refusal
