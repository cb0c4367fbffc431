"""Test the changes that a zone reader passes on to its followers."""

import hypothesis
from hypothesis import stateful
from hypothesis import strategies
import pytest

from hibiscussaddle.adapters import store
from hibiscussaddle.fleet import change_log

KEYS = strategies.sampled_from([f"servers/{n}" for n in range(5)])


class Follower:
    """Hold the keys that one follower knows."""

    def __init__(self) -> None:
        """Start without keys."""
        self.keys: dict[str, bytes] = {}
        self.revision: int | None = None

    def apply(self, page: change_log.Page) -> None:
        """Apply a page as a handler of a feed does."""
        if page.is_listing:
            self.keys.clear()
        for entry in page.entries:
            if entry.data is None:
                self.keys.pop(entry.key, None)
            else:
                self.keys[entry.key] = entry.data
        self.revision = page.revision


class ChangeLogMachine(stateful.RuleBasedStateMachine):
    """Change keys and let followers read from the reader or the store."""

    def __init__(self) -> None:
        """Start with an empty store at revision 1."""
        super().__init__()
        self.truth: dict[str, store.StoreEntry] = {}
        self.revision = 1
        self.pending: list[store.StoreEntry] = []
        self.log = change_log.ChangeLog()
        self.log.apply(change_log.Page((), 1, is_listing=True))
        self.followers = [Follower(), Follower()]

    @stateful.rule(key=KEYS, data=strategies.sampled_from([b"a", b"b", None]))
    def change(self, key: str, data: bytes | None) -> None:
        """Write or remove a key."""
        if data is None and key not in self.truth:
            return
        self.revision += 1
        entry = store.StoreEntry(key, data, self.revision)
        if data is None:
            del self.truth[key]
        else:
            self.truth[key] = entry
        self.pending.append(entry)

    @stateful.rule(history_gone=strategies.booleans())
    def read(self, history_gone: bool) -> None:
        """Apply the pending changes, or a listing, to the reader's log."""
        entries = list(self.truth.values()) if history_gone else self.pending
        page = change_log.Page(tuple(entries), self.revision, history_gone)
        self.log.apply(page)
        self.pending = []

    @stateful.rule(number=strategies.integers(0, 1))
    def follow(self, number: int) -> None:
        """Apply the reader's changes to a follower."""
        follower = self.followers[number]
        if (follower.revision or 0) <= self.log.revision:
            follower.apply(self.log.changes_after(follower.revision))

    @stateful.rule(number=strategies.integers(0, 1))
    def read_directly(self, number: int) -> None:
        """Let a follower read the store itself."""
        entries = tuple(self.truth.values())
        page = change_log.Page(entries, self.revision, is_listing=True)
        self.followers[number].apply(page)

    @stateful.invariant()
    def followers_agree(self) -> None:
        """Check that a follower at the newest revision missed no change."""
        truth = {key: entry.data for key, entry in self.truth.items()}
        for follower in self.followers:
            if follower.revision == self.revision:
                assert follower.keys == truth


TestChangeLog = ChangeLogMachine.TestCase
TestChangeLog.settings = hypothesis.settings(
    max_examples=200, stateful_step_count=30, deadline=None
)


def test_heartbeats_are_not_recorded_as_changes() -> None:
    """Fails when the heartbeats of all endpoints reach all instances.

    With 950 endpoints these are 240 KB a second for each instance.
    """
    log = change_log.ChangeLog(lambda entry: (entry.data or b"")[:1])
    first = store.StoreEntry("servers/1", b"a1", 2)
    log.apply(change_log.Page((first,), 2, is_listing=True))
    assert not log.apply(change_log.Page((_entry(b"a2", 3),), 3))
    assert log.changes_after(2).entries == ()
    assert log.apply(change_log.Page((_entry(b"b3", 4),), 4))
    assert log.changes_after(2).entries == (_entry(b"b3", 4),)
    assert log.changes_after(None).entries == (_entry(b"b3", 4),)


def _entry(data: bytes, revision: int) -> store.StoreEntry:
    return store.StoreEntry("servers/1", data, revision)


def test_follower_that_lags_too_far_gets_a_listing(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Fails when a follower silently skips changes dropped from the log."""
    monkeypatch.setattr(change_log, "_MAX_CHANGES", 2)
    log = change_log.ChangeLog()
    log.apply(change_log.Page((), 1, is_listing=True))
    for revision in range(2, 6):
        log.apply(
            change_log.Page((_entry(b"%d" % revision, revision),), revision)
        )
    assert log.changes_after(1).is_listing
    assert not log.changes_after(4).is_listing
