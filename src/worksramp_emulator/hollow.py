"""Many nodes or engines in one process, to measure the cost of a real node among hundreds of others.

Hollow nodes run the production node with its production transport. They have no HTTP API, and they share one
process and its event loop. Hollow engines are emulated engines, each with a port of its own.
"""

from pathlib import Path

import anyio
import httpx
import msgspec

from worksramp.backends.base import Machine, MachineListClient, MachineRole
from worksramp.backends.http import http_platform
from worksramp.logs import configure_logs
from worksramp.node.main import make_identity
from worksramp.node.node import Node
from worksramp.settings import NodeSettings
from worksramp.transport.tcp import TcpTransport
from worksramp_emulator.engine import EngineCore, EngineProfile
from worksramp_emulator.http_apps import engine_app, serve_app

START_SPACING_SECONDS = 0.01


async def run_hollow_nodes(settings_file: str) -> None:
    """Run a node for each entry of a JSON file of settings, until killed."""
    raw = await anyio.Path(settings_file).read_bytes()
    all_settings = msgspec.json.decode(raw, type=tuple[NodeSettings, ...])
    configure_logs("error")
    async with anyio.create_task_group() as group:
        for settings in all_settings:
            group.start_soon(_run_hollow_node, settings)
            await anyio.sleep(START_SPACING_SECONDS)


class NodesOnlyList(MachineListClient):
    """Machine list without workers. Hollow nodes send no requests, so they need no load reports."""

    def __init__(self, inner: MachineListClient) -> None:
        self._inner = inner

    async def machines(self) -> tuple[Machine, ...]:
        """See `MachineListClient.machines`."""
        listed = await self._inner.machines()
        return tuple(machine for machine in listed if machine.role is MachineRole.NODE)


async def _run_hollow_node(settings: NodeSettings) -> None:
    """Run one node with a connection pool of its own, as a real node has."""
    async with httpx.AsyncClient(trust_env=False, verify=False) as client:
        addresses = settings.platform
        platform = http_platform(client, addresses.log, addresses.weight_store, addresses.machine_list)
        platform = msgspec.structs.replace(platform, machine_list=NodesOnlyList(platform.machine_list))
        transport = TcpTransport(settings.peer_listen)
        node = Node(settings, make_identity(settings.node_id), platform, transport)
        await node.run()


async def run_hollow_engines(addresses: tuple[str, ...], profile: EngineProfile) -> None:
    """Run an emulated engine on each address until killed."""
    async with anyio.create_task_group() as group:
        for index, address in enumerate(addresses):
            core = EngineCore(f"engine-{index}", profile)
            group.start_soon(core.run)
            group.start_soon(serve_app, engine_app(core), address)


def read_addresses(file: str) -> tuple[str, ...]:
    """Return the addresses in a file that has one per line."""
    return tuple(Path(file).read_text(encoding="utf-8").split())
