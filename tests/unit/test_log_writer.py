"""The log writer never blocks the process, and reports the number of dropped lines."""

import io
import threading

from worksramp.log_writer import LogWriter


class BlockedTarget(io.StringIO):
    """Target whose writes block until `unblocked` is set."""

    def __init__(self) -> None:
        super().__init__()
        self.entered = threading.Event()
        self.unblocked = threading.Event()

    def write(self, text: str) -> int:
        self.entered.set()
        self.unblocked.wait()
        return super().write(text)


def test_lines_are_written_complete_and_in_order() -> None:
    target = io.StringIO()
    writer = LogWriter(target)
    for number in range(1000):
        writer.write(f"line={number}\n")
    writer.close(10)
    assert target.getvalue() == "".join(f"line={number}\n" for number in range(1000))


def test_a_blocked_target_does_not_block_the_writer_and_the_queue_stays_bounded() -> None:
    target = BlockedTarget()
    writer = LogWriter(target, max_lines=10)
    writer.write("first\n")
    target.entered.wait()
    # Each of these returns although the thread is blocked in the write above.
    for number in range(1000):
        writer.write(f"line={number}\n")
    assert writer.num_waiting == 10
    target.unblocked.set()
    writer.close(10)
    lines = target.getvalue().splitlines()
    assert lines[0] == "first"
    assert "event=log_lines_dropped num_dropped=990" in lines[1]
    assert lines[2:] == [f"line={number}" for number in range(990, 1000)]


def test_a_closed_target_raises_no_error() -> None:
    target = io.StringIO()
    target.close()
    writer = LogWriter(target)
    writer.write("lost\n")
    writer.close(10)
    writer.write("still taken\n")
