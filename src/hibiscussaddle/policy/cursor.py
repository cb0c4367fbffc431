"""Cursor of a step: sample slots that the trainer already holds."""

import base64
from collections import abc
import dataclasses
import enum
import typing

# Reader positions kept for each step. The one whose last new pull is oldest is
# evicted first; a repeat of that pull then gets a new response.
MAX_READERS: typing.Final = 256


@dataclasses.dataclass(frozen=True)
class Bitmap:
    """Hold one bit per slot; slot = group * samples_per_group + index."""

    size: int
    bits: int = 0

    def has(self, slot: int) -> bool:
        """Return whether the slot's bit is set."""
        return bool(self.bits >> slot & 1)

    def missing_slots(self) -> list[int]:
        """Return the slots whose bits are not set."""
        # One pass over the digits, since a shift for each slot is quadratic.
        digits = format(self.bits, f"0{self.size}b")
        return [
            slot for slot, bit in enumerate(reversed(digits)) if bit == "0"
        ]

    def with_slot(self, slot: int) -> "Bitmap":
        """Return a bitmap in which the slot's bit is set too."""
        return dataclasses.replace(self, bits=self.bits | 1 << slot)

    def union(self, other: "Bitmap") -> "Bitmap":
        """Return the bits that are set in either bitmap."""
        return dataclasses.replace(self, bits=self.bits | other.bits)

    def difference(self, other: "Bitmap") -> "Bitmap":
        """Return the bits that are not set in the other bitmap."""
        return dataclasses.replace(self, bits=self.bits & ~other.bits)

    def set_slots(self) -> list[int]:
        """Return the slots whose bits are set."""
        full = (1 << self.size) - 1
        return Bitmap(self.size, self.bits ^ full).missing_slots()

    def count(self) -> int:
        """Return the number of bits that are set."""
        return self.bits.bit_count()

    def encode(self) -> str:
        """Return the bitmap in base64, least significant byte first."""
        count = (self.size + 7) // 8
        return base64.b64encode(self.bits.to_bytes(count, "little")).decode()


def decode(size: int, text: str) -> Bitmap | None:
    """Return the bitmap of a base64 text; None if it is malformed."""
    try:
        raw = base64.b64decode(text.encode(), validate=True)
    except ValueError:
        return None
    bits = int.from_bytes(raw, "little")
    if bits >> size:
        return None
    return Bitmap(size, bits)


@dataclasses.dataclass(frozen=True)
class Reader:
    """Identify a reader of the groups where group % shards == shard.

    `shards` is the number of readers that share the step.
    """

    shard: int = 0
    shards: int = 1


class Verdict(enum.Enum):
    """Enumerate how a pull relates to earlier ones of its reader."""

    # Also a repeat, as long as the slots of the response are not fixed.
    NEW = "new"
    REPEAT = "repeat"
    OLD = "old"


@dataclasses.dataclass
class _Position:
    pull: int
    # Slots of the response; None until it is fixed.
    batch: tuple[int, ...] | None = None


class Cursor:
    """Decide which slots each pull of one step gets."""

    def __init__(self, size: int, samples_per_group: int) -> None:
        """Start with no slot received."""
        self.size = size
        self.received = Bitmap(size)
        self._per_group = samples_per_group
        self._positions: dict[Reader, _Position] = {}

    def begin_pull(self, reader: Reader, pull: int, have: Bitmap) -> Verdict:
        """Record a pull and the slots that the trainer had when it sent it.

        Of an old pull only the slots are recorded.
        """
        # Bits are never cleared, so those of an old pull are still valid.
        self.received = self.received.union(have)
        position = self._positions.get(reader)
        if position is None or pull > position.pull:
            self._set_position(reader, _Position(pull))
            return Verdict.NEW
        if pull < position.pull:
            return Verdict.OLD
        return Verdict.NEW if position.batch is None else Verdict.REPEAT

    def _set_position(self, reader: Reader, position: _Position) -> None:
        # Readers with another number of shards have their own positions, so
        # that a delayed pull of theirs does not make newer pulls old.
        self._positions.pop(reader, None)
        self._positions[reader] = position
        if len(self._positions) > MAX_READERS:
            del self._positions[next(iter(self._positions))]

    def is_current(self, reader: Reader, pull: int) -> bool:
        """Return whether the pull is the newest one of the reader."""
        position = self._positions.get(reader)
        return position is not None and position.pull == pull

    def undelivered_slots(self, reader: Reader) -> list[int]:
        """Return the slots of the reader that the trainer has not received."""
        return [
            slot
            for slot in self.received.missing_slots()
            if slot // self._per_group % reader.shards == reader.shard
        ]

    def fixed_batch(self, reader: Reader, pull: int) -> tuple[int, ...] | None:
        """Return the pull's fixed slots without those received since."""
        if not self.is_current(reader, pull):
            return None
        fixed = self._positions[reader].batch
        if fixed is None:
            return None
        return tuple(slot for slot in fixed if not self.received.has(slot))

    def fix_batch(
        self, reader: Reader, pull: int, slots: abc.Iterable[int]
    ) -> tuple[int, ...] | None:
        """Fix and return the slots of a pull's response; None if it is old.

        If a concurrent repeat of the pull has fixed them already, those stay.
        """
        if not self.is_current(reader, pull):
            return None
        position = self._positions[reader]
        if position.batch is None:
            allowed = set(self.undelivered_slots(reader))
            position.batch = tuple(s for s in slots if s in allowed)
        return self.fixed_batch(reader, pull)

    def remove_stale(self, reader: Reader, pull: int, slots: set[int]) -> None:
        """Remove stale slots from the fixed response to a pull.

        Repeats of the pull then do not get them either.
        """
        if not self.is_current(reader, pull):
            return
        position = self._positions[reader]
        if position.batch is not None:
            position.batch = tuple(
                slot for slot in position.batch if slot not in slots
            )

    def unconfirmed_slots(self) -> set[int]:
        """Return the slots of responses that no later pull has confirmed."""
        return {
            slot
            for position in self._positions.values()
            for slot in position.batch or ()
        }
