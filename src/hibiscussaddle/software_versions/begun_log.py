"""Keep the streams of recently changed buckets over a restart.

The plan doesn't tell the version of these streams, and a kill of all instances
ends their memories. Each instance stores them under a key of its own, and
reads them at its start.
"""

from collections import abc
import logging
import random
import time
import typing

import anyio
import msgspec
import result

from hibiscussaddle.adapters import store
from hibiscussaddle import clocks
from hibiscussaddle import containment
from hibiscussaddle import decoding
from hibiscussaddle.fleet import presence as presence_lib
from hibiscussaddle.fleet import view as view_lib
from hibiscussaddle import logs
from hibiscussaddle.routes import routing_config
from hibiscussaddle.software_versions import begun_streams
from hibiscussaddle.software_versions import deduction
from hibiscussaddle.software_versions import plan as plan_lib
from hibiscussaddle.software_versions import plan_table

_LOG = logging.getLogger(__name__)

PREFIX: typing.Final = "software-begun/"
# A kill loses the streams that began since the latest write, and many streams
# last less than a second. Large fleets write less often, which bounds the
# writes of all instances together.
_MIN_WRITE_INTERVAL_SECONDS: typing.Final = 0.2
_MAX_WRITE_INTERVAL_SECONDS: typing.Final = 1.0
_FLEET_WRITES_PER_SECOND: typing.Final = 700.0
# About 70 KB.
_MAX_STREAMS: typing.Final = 4096


class _Group(msgspec.Struct):
    """Hold the streams of one origin."""

    service: str
    version: str
    # Concatenated digests of the IDs, and the bucket of each as one byte.
    digests: bytes
    buckets: bytes


class _Document(msgspec.Struct):
    groups: typing.Annotated[
        list[_Group], msgspec.Meta(max_length=_MAX_STREAMS)
    ]


def encode(streams: abc.Iterable[begun_streams.BegunStream]) -> bytes:
    """Return the stored form of streams."""
    groups: dict[begun_streams.Origin, list[begun_streams.BegunStream]] = {}
    for stream in streams:
        groups.setdefault(stream.origin, []).append(stream)
    return msgspec.msgpack.encode(
        _Document(
            [
                _Group(
                    origin.service,
                    origin.version,
                    b"".join(stream.id_digest for stream in group),
                    bytes(stream.bucket for stream in group),
                )
                for origin, group in groups.items()
            ]
        )
    )


def decode(data: bytes, now: float) -> list[begun_streams.BegunStream]:
    """Return stored streams as if they began now; ValueError if malformed."""
    streams: list[begun_streams.BegunStream] = []
    size = begun_streams.DIGEST_BYTES
    for group in decoding.decode_msgpack(data, _Document).groups:
        if len(group.digests) != size * len(group.buckets):
            raise ValueError("digests and buckets differ in number")
        if any(number >= plan_lib.BUCKETS for number in group.buckets):
            raise ValueError("a stream is in a bucket that does not exist")
        origin = begun_streams.Origin(group.service, group.version)
        streams += [
            begun_streams.BegunStream(
                group.digests[at * size : (at + 1) * size], origin, number, now
            )
            for at, number in enumerate(group.buckets)
        ]
    return streams[:_MAX_STREAMS]


def write_interval(members: int) -> float:
    """Return the seconds between two writes of one of several members."""
    return min(
        _MAX_WRITE_INTERVAL_SECONDS,
        max(_MIN_WRITE_INTERVAL_SECONDS, members / _FLEET_WRITES_PER_SECOND),
    )


class BegunLog:
    """Store the streams whose version the plan doesn't tell."""

    def __init__(
        self,
        client: store.StoreClient,
        begun: begun_streams.BegunStreams,
        table: plan_table.PlanTable,
        view: view_lib.View,
        members: presence_lib.Members,
        unix_clock: abc.Callable[[], float] = time.time,
    ) -> None:
        """Use the key of this member, which nothing else writes."""
        self._client = client
        self._members = members
        self._key = PREFIX + members.me.instance
        self._begun = begun
        self._table = table
        self._view = view
        self._unix_clock = unix_clock
        # Digests of the streams that are stored.
        self._stored: frozenset[bytes] = frozenset()

    async def run(self) -> None:
        """Read the stored streams, then write new ones until cancelled."""
        backoff = store.Backoff(random.Random())
        while not await self.read():
            await anyio.sleep(backoff.next())
        while True:
            await anyio.sleep(write_interval(len(self._members.all)))
            with containment.contain("begun_streams", self._key):
                await self.write()

    async def read(self) -> bool:
        """Remember the streams of the process before; return if known."""
        entry = await self._client.get(self._key)
        if isinstance(entry, result.Err):
            return entry.err_value.failure is store.StoreFailure.MISSING
        try:
            streams = decode(entry.ok_value.data or b"", clocks.boot_seconds())
        except ValueError as exc:
            store.log_decode_error(exc)
            return True
        for stream in streams:
            self._begun.put(stream)
        self._stored = frozenset(stream.id_digest for stream in streams)
        logs.event(_LOG, "begun_streams_read", streams=len(streams))
        return True

    async def write(self) -> None:
        """Write the streams of uncertain buckets if there are new ones."""
        streams = self._uncertain_streams()
        digests = frozenset(stream.id_digest for stream in streams)
        if digests <= self._stored:
            return
        put = store.Put(self._key, encode(streams))
        written = await self._client.commit({}, [put])
        if isinstance(written, result.Err):
            logs.event(
                _LOG,
                "begun_streams_write_failed",
                streams=len(streams),
                why=written.err_value.failure.value,
            )
            return
        self._stored = digests

    def _uncertain_streams(self) -> list[begun_streams.BegunStream]:
        timeout = self._longest_timeout()
        now, boot = self._unix_clock(), clocks.boot_seconds()
        oldest = boot - deduction.take_up_seconds(timeout)
        uncertain: dict[tuple[str, int], bool] = {}
        streams: list[begun_streams.BegunStream] = []
        for stream in self._begun.newest_first():
            if stream.began_at < oldest or len(streams) >= _MAX_STREAMS:
                break
            at = (stream.origin.service, stream.bucket)
            if at not in uncertain:
                known = self._table.find(stream.origin.service)
                uncertain[at] = known is not None and (
                    not deduction.is_certain(
                        known, stream.bucket, timeout, now, boot
                    )
                )
            if uncertain[at]:
                streams.append(stream)
        return streams

    def _longest_timeout(self) -> float:
        """Return the longest timeout of routes whose streams go on."""
        cfg = self._view.config
        return max(
            (
                route.timeout
                for route in (cfg.routes if cfg else ())
                if route.resumable
                and route.kind is routing_config.RouteKind.STREAM
            ),
            default=0.0,
        )
