"""Dispatch of an outcome to the method that handles its class."""

from collections.abc import Callable
from typing import Any, Generic, TypeVar

OwnerT = TypeVar("OwnerT")
OutcomeT = TypeVar("OutcomeT")
HandlerT = TypeVar("HandlerT", bound=Callable[..., None])


class OutcomeHandlers(Generic[OwnerT, OutcomeT]):
    """Registry of the methods of one class that each handle one class of outcome.

    The decorator `handler` adds a method to the registry.
    """

    def __init__(self) -> None:
        self._handlers: dict[type[Any], Callable[..., None]] = {}

    def handler(self, outcome_class: type[Any]) -> Callable[[HandlerT], HandlerT]:
        """Return a decorator that registers a method for a class of outcome."""

        def register(method: HandlerT) -> HandlerT:
            self._handlers[outcome_class] = method
            return method

        return register

    def handle(self, owner: OwnerT, outcome: OutcomeT, *args: Any) -> None:
        """Call the method of ``owner`` that is registered for the class of an outcome.

        Args:
            owner: object whose method is called.
            outcome: outcome, the first argument of the method.
            args: further arguments of the method.

        Raises:
            KeyError: no method is registered for the class.
        """
        self._handlers[type(outcome)](owner, outcome, *args)
