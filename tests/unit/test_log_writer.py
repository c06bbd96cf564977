"""Logs never make the process wait, and say what they had to drop."""

import io
import threading

from worksramp.log_writer import LogWriter


class StoppedReader(io.StringIO):
    """A target that takes nothing until it is let go."""

    def __init__(self) -> None:
        super().__init__()
        self.entered = threading.Event()
        self.may_go = threading.Event()

    def write(self, text: str) -> int:
        self.entered.set()
        self.may_go.wait()
        return super().write(text)


def test_lines_come_out_whole_and_in_order() -> None:
    target = io.StringIO()
    writer = LogWriter(target)
    for number in range(1000):
        writer.write(f"line={number}\n")
    writer.close(10)
    assert target.getvalue() == "".join(f"line={number}\n" for number in range(1000))


def test_a_stopped_reader_delays_nobody_and_the_queue_stays_bounded() -> None:
    target = StoppedReader()
    writer = LogWriter(target, max_lines=10)
    writer.write("first\n")
    target.entered.wait()
    # Each of these returns although the thread is stuck in the write above.
    for number in range(1000):
        writer.write(f"line={number}\n")
    assert writer.num_waiting == 10
    target.may_go.set()
    writer.close(10)
    lines = target.getvalue().splitlines()
    assert lines[0] == "first"
    assert "event=log_lines_dropped num_dropped=990" in lines[1]
    assert lines[2:] == [f"line={number}" for number in range(990, 1000)]


def test_a_target_that_is_gone_ends_nothing() -> None:
    target = io.StringIO()
    target.close()
    writer = LogWriter(target)
    writer.write("lost\n")
    writer.close(10)
    writer.write("still taken\n")
