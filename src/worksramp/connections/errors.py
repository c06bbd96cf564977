"""Errors of calls over a connection."""


class CallError(Exception):
    """A call got no complete response; the peer may have executed it."""


class UnsendableCallError(CallError):
    """A call cannot be written as HTTP, so nothing was sent."""


class CallTimeoutError(CallError):
    """No complete response came in time."""


class NoConnectionError(CallError):
    """No connection could be opened, so nothing was sent.

    Attributes:
        is_refusal: whether the peer refused the connection, as its machine does once the process has ended.
    """

    def __init__(self, reason: str, is_refusal: bool) -> None:
        super().__init__(reason)
        self.is_refusal = is_refusal


def was_refused(error: BaseException) -> bool:
    """Return whether a failure to connect was caused by a refusal of the peer.

    Other causes, such as no route or no answer, say nothing about the peer's process.
    """
    cause: BaseException | None = error
    while cause is not None:
        if isinstance(cause, ConnectionRefusedError):
            return True
        # Errors of connecting are raised without a cause, but their context is the error of the socket.
        cause = cause.__cause__ or cause.__context__
    return False
