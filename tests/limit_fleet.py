"""Model a fleet of limiters that ask each other for permits, on one clock."""

import random
import typing

import anyio

from hibiscussaddle.fleet import member as member_lib
from hibiscussaddle.fleet import presence
from hibiscussaddle.rate_limits import limiter as limiter_lib
from hibiscussaddle.rate_limits import permits
from hibiscussaddle.rate_limits import shares

import batch_builders
import limit_builders

ENDPOINT: typing.Final = batch_builders.engine("desk-1")
WINDOW_SECONDS: typing.Final = 4.0


class _Links:
    """Pass permit requests of one instance to the others."""

    def __init__(self, fleet: "LimitFleet", sender: str) -> None:
        self._fleet = fleet
        self._sender = sender

    async def ask(
        self, member: member_lib.Member, message: permits.PermitRequest
    ) -> permits.PermitResponse | None:
        """Return the response of a peer, None if the link is cut."""
        self._fleet.asked += 1
        if self._fleet.is_cut(self._sender, member.instance):
            return None
        return self._fleet.limiters[member.instance].holder.serve(message)


class LimitFleet:
    """Hold the limiters of a fleet in three zones."""

    def __init__(self, size: int, rate: float, seed: int = 1) -> None:
        """Let every instance know the rate of the endpoint."""
        self.now = 100.0
        self.rate = rate
        self.rng = random.Random(seed)
        # Calls between instances.
        self.asked = 0
        # Seconds at which the endpoint got requests.
        self.sent: list[float] = []
        self.retry_after: list[float] = []
        self.cut_zones: set[str] = set()
        self.cut_instances: set[str] = set()
        # Instances whose membership lease is not valid.
        self.without_lease: set[str] = set()
        self.members = {
            name: limit_builders.member(
                name,
                zone=f"zone-{number % 3}",
                is_leader_eligible=number < 12,
            )
            for number, name in enumerate(
                f"gateway-{number}" for number in range(size)
            )
        }
        self.views: dict[str, presence.Members] = {}
        self.limiters: dict[str, limiter_lib.Limiter] = {}
        for name in self.members:
            self.restart(name)

    def restart(self, name: str, knows_limit: bool = True) -> None:
        """Start an instance anew, without what it was told before."""
        others = [m for n, m in self.members.items() if n != name]
        self.views[name] = limit_builders.members(self.members[name], *others)
        self.limiters[name] = limit_builders.limiter(
            self.views[name],
            typing.cast(permits.PermitClient, _Links(self, name)),
            holds_membership=lambda: name not in self.without_lease,
            clock=lambda: self.now,
            rng=random.Random(self.rng.random()),
        )
        if knows_limit:
            self.name_limit(name, self.rate)

    def name_limit(self, name: str, rate: float | None) -> None:
        """Let an instance get a response with a limit, or without one."""
        limits = [] if rate is None else [str(rate)]
        self.limiters[name].observe(
            ENDPOINT, limit_builders.response(200, *limits), "r-1"
        )

    def is_cut(self, one: str, other: str) -> bool:
        """Return whether two instances can't reach each other."""
        if {one, other} & self.cut_instances:
            return True
        zones = {self.members[one].zone, self.members[other].zone}
        return len(zones) > 1 and bool(zones & self.cut_zones)

    def remove_from_views(self, names: set[str], viewers: set[str]) -> None:
        """Let the leases of instances expire for some others."""
        for viewer in viewers:
            for name in names:
                self.views[viewer].all.pop(name, None)

    def holder(self) -> str:
        """Return the instance that grants permits for the fleet."""
        return next(
            name
            for name, limiter in self.limiters.items()
            if limiter.holder.is_holder(shares.Scope.FLEET, ENDPOINT.id)
        )

    async def request(self, name: str) -> bool:
        """Send a request through an instance; return whether it was sent."""
        retry_after = await self.limiters[name].acquire(
            ENDPOINT, "request", "r-1", 0.0
        )
        if retry_after is None:
            self.sent.append(self.now)
            return True
        self.retry_after.append(retry_after)
        return False

    def run(
        self, seconds: float, demand: float, names: set[str] | None = None
    ) -> int:
        """Send requests through random instances; return how many got sent.

        The demand is in requests per second.
        """
        chosen = sorted(names or self.members)

        async def run() -> int:
            sent = 0
            end = self.now + seconds
            while self.now < end:
                self.now += self.rng.expovariate(demand)
                sent += await self.request(self.rng.choice(chosen))
            return sent

        return anyio.run(run)

    def most_in_window(self) -> int:
        """Return the most requests that the endpoint got in one window."""
        return max(
            sum(start <= at < start + WINDOW_SECONDS for at in self.sent)
            for start in self.sent
        )

    def allowed_in_window(self) -> float:
        """Return the most requests that the promise allows in a window."""
        return 1.5 * self.rate * WINDOW_SECONDS + 5
