"""Checks the record of a simulated deployment for violations of the properties of live requests.

Each checker returns the violations that it found, as sentences.
"""

from worksramp_emulator.simulation.live_world import UNDISTURBED_AFTER_S, LiveWorld

#: Workers that one request may crash before nodes must refuse it. Source: the users' bound on crashes.
MAX_CRASHES = 3
#: Runs tolerated after that at nodes that had time to receive the crash records.
MAX_LATE_RUNS = 3
#: Outcome of a submission that was refused because its request is quarantined.
QUARANTINED = "Quarantined"


def check_crash_bound(world: LiveWorld) -> list[str]:
    """Check that a request reaches at most ``MAX_LATE_RUNS`` more workers after it has crashed three."""
    record = world.fleet.application
    found: list[str] = []
    for target in sorted(record.crashing_targets):
        crashed = sorted(crash.at for crash in record.crashes if crash.target == target)
        if len(crashed) < MAX_CRASHES:
            continue
        spread_at = crashed[MAX_CRASHES - 1] + UNDISTURBED_AFTER_S
        late = [
            run
            for run in record.runs
            if run.target == target and run.at > spread_at and world.was_undisturbed(run.node, run.at)
        ]
        if len(late) > MAX_LATE_RUNS:
            found.append(
                f"{target.decode()} reached workers {len(late)} times more after it had crashed "
                f"{MAX_CRASHES}; {len(crashed)} crashed in all"
            )
    return found


def check_false_quarantines(world: LiveWorld) -> list[str]:
    """Check that no request is quarantined that crashes no worker itself."""
    crashing = world.fleet.application.crashing_targets
    harmless = [submission for submission in world.submissions if submission.target not in crashing]
    refused = [submission for submission in harmless if submission.outcome == QUARANTINED]
    if not refused:
        return []
    first = refused[0].target.decode()
    return [f"{len(refused)} of {len(harmless)} submissions of harmless requests were refused, first {first}"]
