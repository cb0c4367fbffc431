"""Remember the software versions of the streams that began here."""

import collections
from collections import abc
import dataclasses
import hashlib
import typing

from hibiscussaddle.software_versions import plan as plan_lib

# About 4 MB. A gateway forwards far fewer streams in the time within which
# they may be taken up.
_MAX_STREAMS: typing.Final = 16_384
DIGEST_BYTES: typing.Final = 16
_MAX_VERSION_CHARS: typing.Final = 1024


@dataclasses.dataclass(frozen=True)
class Origin:
    """Name the service and the software version that began a stream."""

    service: str
    version: str


@dataclasses.dataclass(frozen=True, slots=True)
class BegunStream:
    """Describe a stream without its ID, which may have any length."""

    id_digest: bytes
    origin: Origin
    # Number of the bucket of its ID.
    bucket: int
    # Seconds since boot.
    began_at: float


class BegunStreams:
    """Hold the newest streams."""

    def __init__(self, max_streams: int = _MAX_STREAMS) -> None:
        """Start without streams; the oldest ones are dropped."""
        self._max_streams = max_streams
        self._streams: collections.OrderedDict[bytes, BegunStream]
        self._streams = collections.OrderedDict()
        # Versions are few, so that the streams share their text.
        self._shared: dict[Origin, Origin] = {}

    def record(self, request_id: str, origin: Origin, now: float) -> None:
        """Record a stream by the ID of the attempt that began it."""
        bucket = plan_lib.bucket_number(request_id)
        self.put(BegunStream(digest(request_id), origin, bucket, now))

    def put(self, stream: BegunStream) -> None:
        """Add a stream unless it is known."""
        origin = stream.origin
        if len(origin.version) > _MAX_VERSION_CHARS:
            return
        if len(self._shared) > self._max_streams:
            self._shared.clear()
        origin = self._shared.setdefault(origin, origin)
        self._streams.setdefault(
            stream.id_digest, dataclasses.replace(stream, origin=origin)
        )
        while len(self._streams) > self._max_streams:
            self._streams.popitem(last=False)

    def find(self, id_digest: bytes) -> Origin | None:
        """Return the origin of a stream, None if it isn't known here."""
        stream = self._streams.get(id_digest)
        return stream.origin if stream else None

    def newest_first(self) -> abc.Iterator[BegunStream]:
        """Return all streams, the newest first."""
        return reversed(self._streams.values())


def digest(request_id: str) -> bytes:
    """Return a short form of a request ID, which may have any length."""
    return hashlib.blake2b(
        request_id.encode(errors="surrogatepass"), digest_size=DIGEST_BYTES
    ).digest()
