"""Bound the time at which the entry of an endpoint was last written.

Responses of the store may be late and hold many changes, so the time at which
a change arrives says little about when it was written. Callers pass the time
in, and nothing here performs I/O.
"""

import bisect
import collections
from collections import abc
import typing

# Responses whose revisions are remembered; a feed gets one or two a second.
_MAX_RESPONSES: typing.Final = 64
# IDs that are remembered. Four times the endpoints of the target fleet.
_MAX_ENTRIES: typing.Final = 4096


class EntryTimes:
    """Track lower bounds of the times at which entries were written."""

    def __init__(self) -> None:
        """Start without any response."""
        # Increasing revisions of the store, and the monotonic seconds at which
        # the requests were sent that returned them.
        self._revisions: collections.deque[int]
        self._revisions = collections.deque(maxlen=_MAX_RESPONSES)
        self._sent: collections.deque[float]
        self._sent = collections.deque(maxlen=_MAX_RESPONSES)
        self._written_after: collections.OrderedDict[str, float]
        self._written_after = collections.OrderedDict()

    def record_response(
        self,
        sent_at: float,
        revision: int,
        entries: abc.Iterable[tuple[str, int]],
    ) -> None:
        """Record a response with the IDs and revisions of its entries."""
        if self._revisions and revision < self._revisions[-1]:
            # The store lost its history. Nothing is known of the revisions
            # that come now.
            self._revisions.clear()
            self._sent.clear()
        for endpoint_id, entry_revision in entries:
            self.record_bound(endpoint_id, self._bound(entry_revision))
        self._revisions.append(revision)
        self._sent.append(sent_at)

    def _bound(self, revision: int) -> float:
        """Return seconds after which a revision was written.

        The store had not reached it when it answered a request that returned a
        lower one.
        """
        index = bisect.bisect_left(self._revisions, revision)
        return self._sent[index - 1] if index else float("-inf")

    def record_bound(self, endpoint_id: str, written_after: float) -> None:
        """Record a bound that this or another instance found."""
        if written_after <= self.written_after(endpoint_id):
            return
        self._written_after[endpoint_id] = written_after
        self._written_after.move_to_end(endpoint_id)
        if len(self._written_after) > _MAX_ENTRIES:
            self._written_after.popitem(last=False)

    def written_after(self, endpoint_id: str) -> float:
        """Return seconds after which the newest entry was written."""
        return self._written_after.get(endpoint_id, float("-inf"))
