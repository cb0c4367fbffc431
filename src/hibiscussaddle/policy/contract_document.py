"""Stored document of one customer: contract, revision and audit trail."""

import dataclasses
import enum
import typing

import msgspec

# Every watch event contains the whole document. With 500 entries that was
# 351 KB, or 9 KB/s for each reader at 2,200 changes a day.
MAX_AUDIT_ENTRIES: typing.Final = 20
# Larger documents are archived in part before they are written. The store
# accepts values of up to 1 MiB.
MAX_DOCUMENT_BYTES: typing.Final = 512 * 1024
# A document holds the contract three times when a change is recorded: as
# contract, before and after.
MAX_CONTRACT_BYTES: typing.Final = 64 * 1024
# Fraction of the audit entries that are moved to an archive at once.
_ARCHIVE_FRACTION: typing.Final = 0.5

Json: typing.TypeAlias = dict[str, typing.Any]


class Outcome(enum.Enum):
    """Enumerate the outcomes of a change."""

    ACCEPTED = "accepted"
    CONFLICT = "conflict"
    INVALID = "invalid"


@dataclasses.dataclass(frozen=True)
class AuditEntry:
    """Record one accepted or refused change."""

    who: str
    # Wall-clock seconds of the instance that received the change.
    at: float
    change_id: str
    reason: str
    # Revision of the contract after the change.
    revision: int
    expected_revision: int
    outcome: Outcome
    before: Json | None
    after: Json | None


@dataclasses.dataclass(frozen=True)
class Archive:
    """Hold the entries that were moved out of a document, oldest first."""

    entries: tuple[AuditEntry, ...]
    # Number of the previous archive; None for the first.
    previous: int | None = None


@dataclasses.dataclass(frozen=True)
class Document:
    """Hold one customer's contract and its newest audit entries."""

    # None until a change is accepted.
    contract: Json | None = None
    # Number of accepted changes. The store's own revision also increases when
    # a refused change is recorded, so it can't tell the changes of concurrent
    # operators apart.
    revision: int = 0
    change_id: str = ""
    audit: tuple[AuditEntry, ...] = ()
    # Number of entries moved out so far. It also numbers the next archive, so
    # archive numbers are not consecutive.
    archived: int = 0
    # Number of the newest archive; None before the first.
    last_archive: int | None = None

    def find(self, change_id: str) -> AuditEntry | None:
        """Return the newest entry of a change."""
        for entry in reversed(self.audit):
            if entry.change_id == change_id:
                return entry
        return None

    def record(self, entry: AuditEntry) -> "Document":
        """Append an entry; an accepted one replaces the contract."""
        recorded = dataclasses.replace(self, audit=(*self.audit, entry))
        if entry.outcome is not Outcome.ACCEPTED:
            return recorded
        return dataclasses.replace(
            recorded,
            contract=entry.after,
            revision=entry.revision,
            change_id=entry.change_id,
        )

    def is_full(self) -> bool:
        """Return whether entries must be archived before the next write."""
        if len(self.audit) > MAX_AUDIT_ENTRIES:
            return True
        return len(encode_bytes(self)) > MAX_DOCUMENT_BYTES

    def archive_of_oldest(self) -> Archive:
        """Return a new archive that holds the oldest audit entries."""
        count = max(1, int(len(self.audit) * _ARCHIVE_FRACTION))
        return Archive(self.audit[:count], self.last_archive)

    def without_oldest(self, count: int) -> "Document":
        """Return the document without its oldest entries, now archived."""
        return dataclasses.replace(
            self,
            audit=self.audit[count:],
            archived=self.archived + count,
            last_archive=self.archived,
        )


def encode(value: Document | Archive | AuditEntry) -> Json:
    """Return the JSON document."""
    return typing.cast(Json, msgspec.to_builtins(value))


def encode_bytes(value: Document) -> bytes:
    """Return the JSON text, whose size the store limits."""
    return msgspec.json.encode(value)


_Kind = typing.TypeVar("_Kind", Document, Archive)


def decode(value: object, kind: type[_Kind]) -> _Kind | None:
    """Return the typed value; None if it is malformed."""
    try:
        return msgspec.convert(value, kind)
    except msgspec.ValidationError:
        return None
