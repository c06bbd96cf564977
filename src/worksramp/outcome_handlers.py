"""Registry of methods by the class of outcome that they take in."""

from collections.abc import Callable
from typing import Any, Generic, TypeVar

OwnerT = TypeVar("OwnerT")
OutcomeT = TypeVar("OutcomeT")
HandlerT = TypeVar("HandlerT", bound=Callable[..., None])


class OutcomeHandlers(Generic[OwnerT, OutcomeT]):
    """Methods of one class, each for one class of outcome; filled by the decorator `handler`."""

    def __init__(self) -> None:
        self._handlers: dict[type[Any], Callable[..., None]] = {}

    def handler(self, outcome_class: type[Any]) -> Callable[[HandlerT], HandlerT]:
        """Register the decorated method for a class of outcome."""

        def register(method: HandlerT) -> HandlerT:
            self._handlers[outcome_class] = method
            return method

        return register

    def handle(self, owner: OwnerT, outcome: OutcomeT, *args: Any) -> None:
        """Call the method registered for an outcome.

        Raises:
            KeyError: none is registered for its class.
        """
        self._handlers[type(outcome)](owner, outcome, *args)
