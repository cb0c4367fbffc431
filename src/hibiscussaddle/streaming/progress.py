"""Decide which event may follow in a stream, and where it continues."""

from collections import abc

from hibiscussaddle.streaming import event_splitter


class Progress:
    """Hold how far one caller's stream has come across endpoints."""

    def __init__(self, last_id: int | None, is_resumable: bool) -> None:
        """Continue after an event that the caller has; None for none."""
        self.last_id = last_id
        self._is_resumable = is_resumable
        # Whether the next event comes from another endpoint than the last.
        self._is_joint = last_id is not None
        # An event without an ID can't be named to another endpoint.
        self._has_unnamed = False

    @property
    def may_continue(self) -> bool:
        """Return whether another endpoint may send the rest."""
        return self._is_resumable and not self._has_unnamed

    def begin_attempt(self) -> None:
        """Record that the next event comes from another run."""
        self._is_joint = self.last_id is not None

    def add(self, events: abc.Iterable[event_splitter.Event]) -> None:
        """Add the next events, or none of them.

        Raises MalformedStreamError if one does not follow the last event.
        Nothing is checked where a stream can't be resumed.
        """
        before = self.last_id, self._is_joint, self._has_unnamed
        try:
            for event in events:
                self._add(event)
        except event_splitter.MalformedStreamError:
            # The caller gets none of them, so that the next endpoint must
            # send all of them again.
            self.last_id, self._is_joint, self._has_unnamed = before
            raise

    def _add(self, event: event_splitter.Event) -> None:
        if not self._is_resumable:
            return
        if event.id is None:
            if not event.has_data:
                return
            if self._is_joint:
                raise event_splitter.MalformedStreamError(
                    f"an event without ID follows event {self.last_id}"
                )
            self._has_unnamed = True
            return
        if self.last_id is not None and (
            event.id != self.last_id + 1
            if self._is_joint
            else event.id <= self.last_id
        ):
            raise event_splitter.MalformedStreamError(
                f"event {event.id} follows event {self.last_id}"
            )
        self.last_id = event.id
        self._is_joint = False
