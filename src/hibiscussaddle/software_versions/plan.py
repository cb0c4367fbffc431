"""Divide the request IDs of a service among its software versions.

Each ID belongs to one bucket, and streams begin only at endpoints of their
bucket's version. The version that began a stream follows from its ID and the
plan, without a record of each stream. Nothing here does I/O.
"""

import collections
from collections import abc
import dataclasses
import hashlib
import math
import typing

import msgspec

from hibiscussaddle import decoding

BUCKETS: typing.Final = 64
# Difference from the targets in buckets, of any version, up to which a plan
# stays as it is. Each moved bucket has two versions for a while.
_TOLERANCE_BUCKETS: typing.Final = 4
_MAX_VERSION_CHARS: typing.Final = 1024
# Separates this hash from the one that divides IDs among services.
_HASH_PERSON: typing.Final = b"software-plan"
_SINCE_DIGITS: typing.Final = 3


@dataclasses.dataclass(frozen=True)
class Bucket:
    """Name the version at which the streams of a bucket begin."""

    version: str
    # Unix seconds by the clock of the instance that wrote the change; 0 if
    # no other version served before.
    since: float
    # Seconds after that in which instances may still begin streams by an
    # earlier plan.
    late_seconds: float = 0.0


@dataclasses.dataclass(frozen=True)
class Plan:
    """Assign each bucket to a version."""

    buckets: tuple[Bucket, ...]

    def bucket_for(self, request_id: str) -> Bucket:
        """Return the bucket of a request ID."""
        return self.buckets[bucket_number(request_id)]

    def counts(self) -> collections.Counter[str]:
        """Return the number of buckets of each version."""
        return collections.Counter(bucket.version for bucket in self.buckets)


class _Document(msgspec.Struct, forbid_unknown_fields=False):
    """Hold a plan in the store."""

    versions: typing.Annotated[
        list[
            typing.Annotated[str, msgspec.Meta(max_length=_MAX_VERSION_CHARS)]
        ],
        msgspec.Meta(min_length=1, max_length=BUCKETS),
    ]
    # Index of the version, start in Unix seconds and late seconds, by bucket.
    buckets: typing.Annotated[
        list[tuple[decoding.Count, decoding.Amount, decoding.Amount]],
        msgspec.Meta(min_length=BUCKETS, max_length=BUCKETS),
    ]


def bucket_number(request_id: str) -> int:
    """Return the number of the bucket of a request ID."""
    digest = hashlib.blake2b(
        request_id.encode(errors="surrogatepass"),
        digest_size=8,
        person=_HASH_PERSON,
    ).digest()
    return int.from_bytes(digest, "big") % BUCKETS


def create_plan(
    slots: abc.Mapping[str, int], since: float, late_seconds: float
) -> Plan:
    """Return the first plan for versions with the given slots."""
    versions: list[str] = []
    for version, count in sorted(_targets(slots).items()):
        versions += [version] * count
    return Plan(
        tuple(_change(version, since, late_seconds) for version in versions)
    )


def next_plan(
    plan: Plan, slots: abc.Mapping[str, int], now: float, late_seconds: float
) -> Plan:
    """Return the plan for changed slots; the same one if it may stay.

    As few buckets move as possible, and those that changed last move first,
    since their streams may be of two versions anyway. Without any slots the
    plan stays, as nothing can begin.
    """
    if not slots:
        return plan
    targets = _targets(slots)
    versions = [bucket.version for bucket in plan.buckets]
    for number, version in enumerate(versions):
        if version not in targets:
            versions[number] = _neediest(versions, targets)
    if _must_rebalance(versions, targets):
        _rebalance(plan, versions, targets)
    buckets = tuple(
        old if old.version == version else _change(version, now, late_seconds)
        for old, version in zip(plan.buckets, versions, strict=True)
    )
    return plan if buckets == plan.buckets else Plan(buckets)


def extend_recent(plan: Plan, after: float, late_seconds: float) -> Plan:
    """Raise the late seconds of the buckets that changed after a time."""
    return Plan(
        tuple(
            dataclasses.replace(
                bucket, late_seconds=max(bucket.late_seconds, late_seconds)
            )
            if bucket.since > after
            else bucket
            for bucket in plan.buckets
        )
    )


def has_unserved_bucket(plan: Plan, slots: abc.Mapping[str, int]) -> bool:
    """Return whether streams of some bucket can begin nowhere."""
    return any(bucket.version not in slots for bucket in plan.buckets)


def encode(plan: Plan) -> bytes:
    """Return the stored form of a plan."""
    versions = sorted(plan.counts())
    numbers = {version: number for number, version in enumerate(versions)}
    return msgspec.json.encode(
        _Document(
            versions,
            [
                (numbers[b.version], b.since, b.late_seconds)
                for b in plan.buckets
            ],
        )
    )


def decode(data: bytes) -> Plan:
    """Return a stored plan; raise ValueError if it is malformed."""
    document = decoding.decode_json(data, _Document)
    if any(
        number >= len(document.versions) for number, *_ in document.buckets
    ):
        raise ValueError("a bucket names a version that is not listed")
    return Plan(
        tuple(
            Bucket(document.versions[number], since, late_seconds)
            for number, since, late_seconds in document.buckets
        )
    )


def _change(version: str, now: float, late_seconds: float) -> Bucket:
    return Bucket(version, round(now, _SINCE_DIGITS), late_seconds)


def _targets(slots: abc.Mapping[str, int]) -> dict[str, int]:
    """Return the number of buckets of each version, at least one each.

    They are proportional to the slots. Of more versions than buckets, those
    with the most slots get one each.
    """
    chosen = sorted(slots, key=lambda version: (-slots[version], version))
    chosen = chosen[:BUCKETS]
    total = sum(slots[version] for version in chosen)
    spare = BUCKETS - len(chosen)
    quotas = {version: spare * slots[version] / total for version in chosen}
    targets = {
        version: 1 + math.floor(quota) for version, quota in quotas.items()
    }
    by_remainder = sorted(
        chosen,
        key=lambda version: math.floor(quotas[version]) - quotas[version],
    )
    for version in by_remainder[: BUCKETS - sum(targets.values())]:
        targets[version] += 1
    return targets


def _neediest(
    versions: abc.Iterable[str], targets: abc.Mapping[str, int]
) -> str:
    """Return the version that lacks most buckets."""
    counts = collections.Counter(versions)
    return max(
        sorted(targets), key=lambda version: targets[version] - counts[version]
    )


def _must_rebalance(
    versions: abc.Iterable[str], targets: abc.Mapping[str, int]
) -> bool:
    counts = collections.Counter(versions)
    return any(
        not counts[version]
        or abs(counts[version] - target) > _TOLERANCE_BUCKETS
        for version, target in targets.items()
    )


def _rebalance(
    plan: Plan, versions: list[str], targets: abc.Mapping[str, int]
) -> None:
    """Move buckets from versions above their targets to those below."""
    counts = collections.Counter(versions)
    newest_first = sorted(
        range(BUCKETS), key=lambda number: -plan.buckets[number].since
    )
    for number in newest_first:
        version = versions[number]
        if counts[version] > targets[version]:
            versions[number] = _neediest(versions, targets)
            counts = collections.Counter(versions)
