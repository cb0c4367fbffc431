"""The entry instances known to this instance."""

import dataclasses
import enum


class MemberState(enum.Enum):
    """Enumerate member states.

    Of two states with the same incarnation number, the later one wins.
    """

    ALIVE = "alive"
    SUSPECT = "suspect"
    DEAD = "dead"
    # After a planned stop.
    LEFT = "left"


_LIVE = (MemberState.ALIVE, MemberState.SUSPECT)


@dataclasses.dataclass(frozen=True)
class Member:
    """Describe one entry instance."""

    id: str
    zone: str
    region: str
    # The host:port on which it serves peers.
    address: str
    # Wall-clock milliseconds at startup; identifies one run of the instance.
    incarnation: int
    state: MemberState = MemberState.ALIVE
    # Id of the member that took over ledger and cursors at a planned stop.
    successor: str = ""
    # Raised above the incarnation by the member itself, to refute a
    # suspicion or to announce a change; 0 before that.
    heartbeat: int = 0


class Members:
    """Store the members known to one instance, including itself."""

    def __init__(self, me: Member) -> None:
        """Initialize with this instance only."""
        self._members: dict[str, Member] = {me.id: me}
        self._own_id = me.id
        # Peer addresses in the platform's list.
        self.listed_addresses: frozenset[str] = frozenset()

    @property
    def me(self) -> Member:
        """Return this instance."""
        return self._members[self._own_id]

    def put(self, member: Member) -> None:
        """Add or replace a member."""
        self._members[member.id] = member

    def get(self, member_id: str) -> Member | None:
        """Return a member in any state."""
        return self._members.get(member_id)

    def all(self) -> tuple[Member, ...]:
        """Return every member in any state, ordered by id."""
        return tuple(self._members[key] for key in sorted(self._members))

    def live(self) -> tuple[Member, ...]:
        """Return the alive and suspect members, ordered by id."""
        return tuple(m for m in self.all() if m.state in _LIVE)

    def others(self) -> tuple[Member, ...]:
        """Return the live members except this instance."""
        return tuple(m for m in self.live() if m.id != self._own_id)
