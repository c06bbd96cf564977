"""Load reports of workers.

Guards against a report with a fourth figure being dropped: nodes then chose among a few shared workers by
their own requests alone.
"""

import pytest
from worksramp_platform.workers import parse_load

from worksramp.routing.worker_load import ReportedLoad


@pytest.mark.parametrize(
    ("header", "expected"),
    [
        (b"3,0,8", ReportedLoad(3, 0, 8)),
        (b" 3, 1 ,8", ReportedLoad(3, 1, 8)),
        (b"3,1,8,250", ReportedLoad(3, 1, 8, 2.5)),
        (b"3,1,8,100", ReportedLoad(3, 1, 8, 1.0)),
        (b"3,1,8,0", ReportedLoad(3, 1, 8)),
        (b"3,1,8,100,7", ReportedLoad(3, 1, 8, 1.0)),
    ],
)
def test_reports_of_three_and_of_four_figures_are_read(header: bytes, expected: ReportedLoad) -> None:
    assert parse_load(header) == expected


@pytest.mark.parametrize(
    "header", [None, b"", b"3,1", b"3,1,x", b"3,1,8,x", b"-1,0,8", b"9" * 65, b"\xb2,1,8"]
)
def test_other_texts_are_no_report(header: bytes | None) -> None:
    assert parse_load(header) is None
