"""Registry of mechanisms: decision functions that can be switched off one by one to measure their effect.

A mechanism is a decorated function with a replacement that is called while the mechanism is off. All are on
by default. The settings may switch some of them off, once, before a node starts.
"""

import functools
from collections.abc import Callable, Iterable
from dataclasses import dataclass
from typing import Any, ParamSpec, TypeVar, cast

ParamsT = ParamSpec("ParamsT")
ResultT = TypeVar("ResultT")


class UnknownMechanismError(ValueError):
    """No mechanism has the given name."""


@dataclass(frozen=True, slots=True)
class Mechanism:
    """One entry of the registry.

    Attributes:
        name: name in the settings.
        summary: first line of the function's docstring.
    """

    name: str
    summary: str


class Mechanisms:
    """Registry of mechanisms, and the set of those that are switched off.

    Attributes:
        by_name: registered mechanisms by name.
    """

    def __init__(self) -> None:
        self.by_name: dict[str, Mechanism] = {}
        self._off: frozenset[str] = frozenset()

    def switch_off(self, names: Iterable[str]) -> None:
        """Switch off the named mechanisms and switch on all others.

        Raises:
            UnknownMechanismError: a name is not registered.
        """
        off = frozenset(names)
        unknown_names = sorted(off - set(self.by_name))
        if unknown_names:
            known_names = ", ".join(sorted(self.by_name))
            raise UnknownMechanismError(
                f"no mechanism is named {unknown_names[0]!r}; known names: {known_names}"
            )
        self._off = off

    def is_on(self, name: str) -> bool:
        """Return whether a mechanism is on."""
        return name not in self._off

    def register(
        self, name: str, without: Callable[..., Any]
    ) -> Callable[[Callable[ParamsT, ResultT]], Callable[ParamsT, ResultT]]:
        """Register the decorated function as a mechanism.

        Args:
            name: name of the mechanism in the settings.
            without: replacement that is called with the same arguments while the mechanism is off.
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
    """Register the decorated function in `MECHANISMS`; see `Mechanisms.register`."""
    return MECHANISMS.register(name, without)
