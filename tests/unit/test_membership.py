"""Membership state machines that are connected by a loop which delivers every message at once."""

from collections.abc import Callable

from worksramp.coordination.membership import Membership, Send
from worksramp.coordination.membership_messages import Member, MemberStatus

TICK_SECONDS = 0.15


class Network:
    """Network that delivers messages by address and discards those to unknown addresses."""

    def __init__(self) -> None:
        self.by_address: dict[str, Membership] = {}
        self.now = 0.0

    def add(self, instance_id: str, address: str, seed: int) -> Membership:
        member = Member(instance_id, address, "zone", ("coordinator",))
        membership = Membership(member, seed)
        self.by_address[address] = membership
        return membership

    def deliver(self, instructions: list[object]) -> None:
        pending = list(instructions)
        while pending:
            instruction = pending.pop(0)
            if isinstance(instruction, Send) and instruction.address in self.by_address:
                pending += self.by_address[instruction.address].receive(instruction.message, self.now)

    def run(self, seconds: float, until: Callable[[], bool] = lambda: False) -> bool:
        end = self.now + seconds
        while self.now < end and not until():
            for membership in list(self.by_address.values()):
                self.deliver(list(membership.tick(self.now)))
            self.now += TICK_SECONDS
        return until()


def joined(num_members: int) -> tuple[Network, list[Membership]]:
    network = Network()
    members = [network.add(f"m{n}.1", f"a{n}", n) for n in range(num_members)]
    for membership in members[1:]:
        network.deliver(list(membership.join(("a0",))))
    assert network.run(
        30.0, lambda: all(len(membership.live_members()) == num_members for membership in members)
    )
    return network, members


def is_dead(membership: Membership, instance_id: str) -> bool:
    member = membership.member(instance_id)
    return member is None or member.status is MemberStatus.DEAD


def test_a_silent_member_is_declared_dead_by_all() -> None:
    network, members = joined(5)
    del network.by_address["a4"]
    assert network.run(20.0, lambda: all(is_dead(member, "m4.1") for member in members[:4]))


def test_a_restarted_member_does_not_keep_its_predecessor_alive() -> None:
    network, members = joined(4)
    successor = network.add("m3.2", "a3", 99)
    network.deliver(list(successor.join(("a0",))))
    live = [*members[:3], successor]
    assert network.run(20.0, lambda: all(is_dead(member, "m3.1") for member in live))
    assert all(not is_dead(member, "m3.2") for member in live)


def test_a_paused_member_returns_under_a_higher_incarnation() -> None:
    network, members = joined(4)
    paused = network.by_address.pop("a3")
    assert network.run(20.0, lambda: all(is_dead(member, "m3.1") for member in members[:3]))
    network.by_address["a3"] = paused
    assert network.run(20.0, lambda: all(not is_dead(member, "m3.1") for member in members[:3]))


def test_a_draining_member_is_not_eligible_and_never_suspected() -> None:
    network, members = joined(4)
    network.deliver(list(members[3].leave()))
    network.run(3.0)
    assert all("m3.1" not in member.eligible("coordinator") for member in members[:3])
    del network.by_address["a3"]
    seen: set[MemberStatus] = set()

    def watch() -> bool:
        seen.update(
            member.status for member in (one.member("m3.1") for one in members[:3]) if member is not None
        )
        return all(is_dead(member, "m3.1") for member in members[:3])

    assert network.run(20.0, watch)
    assert MemberStatus.SUSPECT not in seen


def test_probes_cost_the_same_whatever_the_number_of_members() -> None:
    counts: list[float] = []
    for num_members in (5, 40):
        network, members = joined(num_members)
        num_sent = 0
        for _ in range(100):
            for membership in members:
                instructions = membership.tick(network.now)
                num_sent += sum(1 for item in instructions if isinstance(item, Send))
                network.deliver(list(instructions))
            network.now += TICK_SECONDS
        counts.append(num_sent / num_members)
    assert counts[1] <= counts[0] * 1.2
