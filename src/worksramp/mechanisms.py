"""Registry of the mechanisms that decisions are made with; each can be switched off to see what it is worth.

A mechanism is a decorated function together with what stands in its place when it is off. The switches are
set once, from the settings, before a node starts; all are on by default.
"""

import functools
from collections.abc import Callable, Iterable
from dataclasses import dataclass
from typing import Any, ParamSpec, TypeVar, cast

ParamsT = ParamSpec("ParamsT")
ResultT = TypeVar("ResultT")


class UnknownMechanismError(ValueError):
    """A name that no mechanism has."""


@dataclass(frozen=True, slots=True)
class Mechanism:
    """One entry of the registry.

    Attributes:
        summary: first line of its doc comment.
    """

    name: str
    summary: str


class Mechanisms:
    """All mechanisms by name, and which are off."""

    def __init__(self) -> None:
        self.by_name: dict[str, Mechanism] = {}
        self._off: frozenset[str] = frozenset()

    def switch_off(self, names: Iterable[str]) -> None:
        """Have these off and all others on.

        Raises:
            UnknownMechanismError: a name is not in the registry.
        """
        off = frozenset(names)
        unknown = sorted(off - set(self.by_name))
        if unknown:
            known = ", ".join(sorted(self.by_name))
            raise UnknownMechanismError(f"no mechanism {unknown[0]!r}; there are {known}")
        self._off = off

    def is_on(self, name: str) -> bool:
        """Return whether a mechanism is on."""
        return name not in self._off

    def register(
        self, name: str, without: Callable[..., Any]
    ) -> Callable[[Callable[ParamsT, ResultT]], Callable[ParamsT, ResultT]]:
        """Register the decorated function as a mechanism.

        Args:
            without: called in its place when it is off, with the same arguments.
        """

        def decorate(function: Callable[ParamsT, ResultT]) -> Callable[ParamsT, ResultT]:
            summary = (function.__doc__ or "").strip().partition("\n")[0]
            self.by_name[name] = Mechanism(name, summary)

            @functools.wraps(function)
            def call(*args: ParamsT.args, **kwargs: ParamsT.kwargs) -> ResultT:
                if self.is_on(name):
                    return function(*args, **kwargs)
                return cast(ResultT, without(*args, **kwargs))

            return call

        return decorate


MECHANISMS = Mechanisms()


def mechanism(
    name: str, without: Callable[..., Any]
) -> Callable[[Callable[ParamsT, ResultT]], Callable[ParamsT, ResultT]]:
    """Register the decorated function among the product's mechanisms; see `Mechanisms.register`."""
    return MECHANISMS.register(name, without)
