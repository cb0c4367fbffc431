"""Build limiters and members for tests."""

from collections import abc
import random
import time
import typing

import httpx

from hibiscussaddle.adapters import connections
from hibiscussaddle.fleet import member as member_lib
from hibiscussaddle.fleet import presence
from hibiscussaddle.rate_limits import holder as permit_holder
from hibiscussaddle.rate_limits import limiter as limiter_lib
from hibiscussaddle.rate_limits import observed
from hibiscussaddle.rate_limits import permits


def member(name: str, **changes: typing.Any) -> member_lib.Member:
    """Return a leader-eligible member of zone 'zone-a'."""
    values: dict[str, typing.Any] = {
        "instance": name,
        "zone": "zone-a",
        "incarnation": 1,
        "peer_address": f"{name}:1",
        "is_leader_eligible": True,
    }
    values.update(changes)
    return member_lib.Member(**values)


def members(
    me: member_lib.Member, *others: member_lib.Member
) -> presence.Members:
    """Return the members as an instance knows them."""
    known = presence.Members(me)
    known.all = {each.instance: each for each in (me, *others)}
    return known


def response(status: int, *limits: str) -> httpx.Response:
    """Return the response of an endpoint that names limits."""
    return httpx.Response(
        status, headers=[("Server-Limit", limit) for limit in limits]
    )


def limiter(
    known: presence.Members | None = None,
    client: permits.PermitClient | None = None,
    **options: typing.Any,
) -> limiter_lib.Limiter:
    """Return the limiter of an instance, alone unless members are given."""
    holds_membership: abc.Callable[[], bool]
    holds_membership = options.pop("holds_membership", lambda: True)
    clock = options.pop("clock", time.monotonic)
    limits = observed.ObservedLimits()
    holder = permit_holder.PermitHolder(
        known or members(member("gateway-1")),
        holds_membership,
        limits,
        options.pop("rng", random.Random(1)),
        clock,
    )
    return limiter_lib.Limiter(
        holder,
        client or permits.PermitClient(connections.create_client()),
        limits,
        clock,
        **options,
    )
