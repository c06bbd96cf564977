"""Assemble the HTTP application of one node."""

import anyio.abc
from starlette.applications import Starlette
from starlette.middleware import Middleware
from starlette.routing import BaseRoute

from worksramp.gateway.backend import GatewayBackend
from worksramp.gateway.body_room import BodyRoom
from worksramp.gateway.callers import CallersApi
from worksramp.gateway.operators import OperatorsApi
from worksramp.gateway.trainers import TrainersApi
from worksramp.serving.request_memory import SMALL_BODY_B, ByteBudget, RequestMemory, max_request_bytes
from worksramp.settings import Role


def make_application(backend: GatewayBackend, background: anyio.abc.TaskGroup) -> Starlette:
    """Return the HTTP application of a node; without the gateway role, it serves the operators' API only.

    Args:
        background: task group in which a drain requested over HTTP runs.
    """
    routes: list[BaseRoute] = [*OperatorsApi(backend, background).routes()]
    if Role.GATEWAY in backend.settings.roles:
        routes += CallersApi(backend).routes()
        routes += TrainersApi(backend).routes()
    memory = RequestMemory(ByteBudget(max_request_bytes(backend.settings.memory_mb)), SMALL_BODY_B)
    return Starlette(routes=routes, middleware=[Middleware(BodyRoom, memory=memory)])
