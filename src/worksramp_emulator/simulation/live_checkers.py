"""What must hold of live requests over the whole record of a simulated deployment."""

from worksramp_emulator.simulation.live_world import CONTACT_S, LiveWorld

#: Workers that one request may end before it must be stopped. Source: the users' bound on crashes.
MAX_CRASHES = 3
#: Sends that are borne after that, by nodes that had the time to know.
MAX_LATE_RUNS = 3
#: Outcome of a try that was refused for the crashes under its request.
QUARANTINED = "Quarantined"


def check_crash_bound(world: LiveWorld) -> list[str]:
    """A request that ends workers reaches few more of them once it has ended three."""
    record = world.fleet.application
    found: list[str] = []
    for target in sorted(record.crashing_targets):
        ended = sorted(crash.at for crash in record.crashes if crash.target == target)
        if len(ended) < MAX_CRASHES:
            continue
        known_at = ended[MAX_CRASHES - 1] + CONTACT_S
        late = [
            run
            for run in record.runs
            if run.target == target and run.at > known_at and world.was_in_touch(run.node, run.at)
        ]
        if len(late) > MAX_LATE_RUNS:
            found.append(
                f"{target.decode()} reached workers {len(late)} times more after it had ended "
                f"{MAX_CRASHES}; {len(ended)} ended in all"
            )
    return found


def check_innocents(world: LiveWorld) -> list[str]:
    """No request that ends no worker is refused for the crashes of others."""
    killing = world.fleet.application.crashing_targets
    innocent = [caller_try for caller_try in world.tries if caller_try.target not in killing]
    refused = [caller_try for caller_try in innocent if caller_try.outcome == QUARANTINED]
    if not refused:
        return []
    first = refused[0].target.decode()
    return [f"{len(refused)} of {len(innocent)} tries of innocents were refused, first {first}"]
