"""Decides whether a text that one weight version has begun can still be continued."""

from collections.abc import Collection


def is_stale(version: int, min_version: int, held_versions: Collection[int]) -> bool:
    """Return whether a text of one weight version should be discarded, so that its item begins anew.

    A worker's version only grows, and a new worker holds the newest. So a text whose version no worker holds
    would wait for ever. It is kept while no worker could begin the item anew either.

    Args:
        version: version that generated the text so far.
        min_version: oldest version that may generate the item's text.
        held_versions: versions that the workers hold which may get the item.
    """
    return version not in held_versions and any(held >= min_version for held in held_versions)
