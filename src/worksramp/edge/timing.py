"""Times of an edge node that follow from what its deployment promises."""

from worksramp.coordination.log_lease import LeaseTimes
from worksramp.edge.settings import EdgeBounds


def poll_seconds(bounds: EdgeBounds) -> float:
    """Return the longest wait of one poll, in seconds.

    It is short enough to notice a poll that hangs well within the bounds.
    """
    return min(bounds.configuration_apply / 4, bounds.settle / 2)


def gather_seconds(bounds: EdgeBounds) -> float:
    """Return the pause after a read of the batches with new records, in seconds.

    With many nodes, reads are their main cost to the store.
    """
    return 0.2 * bounds.settle


def lease_times(bounds: EdgeBounds) -> LeaseTimes:
    """Return the times of the owner's lease, as docs/design/prepared-machines.md gives them."""
    return LeaseTimes(
        expiry=0.4 * bounds.lease,
        renewal=0.1 * bounds.lease,
        order_validity=0.3 * bounds.lease,
        # An order follows its announcement within the validity of a renewal.
        order_guard=(1.1 + 0.3) * bounds.lease,
        max_replica_age=poll_seconds(bounds) + gather_seconds(bounds) + 0.1 * bounds.lease,
        outage_grace=0.25 * bounds.lease,
    )
