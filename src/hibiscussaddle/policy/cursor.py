"""Cursor of a step: which sample slots the trainer already holds."""

import base64
import dataclasses


@dataclasses.dataclass(frozen=True)
class Bitmap:
    """Hold one bit a slot; slot = group * samples_per_group + index."""

    size: int
    bits: int = 0

    def has(self, slot: int) -> bool:
        """Tell whether the slot's bit is set."""
        return bool(self.bits >> slot & 1)

    def missing(self) -> list[int]:
        """Return the slots whose bits are not set."""
        return [slot for slot in range(self.size) if not self.has(slot)]

    def with_slot(self, slot: int) -> "Bitmap":
        """Return the bitmap with one more bit set."""
        return dataclasses.replace(self, bits=self.bits | 1 << slot)

    def union(self, other: "Bitmap") -> "Bitmap":
        """Return the bits of both."""
        return dataclasses.replace(self, bits=self.bits | other.bits)

    def encode(self) -> str:
        """Return the bitmap in base64, least significant byte first."""
        count = (self.size + 7) // 8
        return base64.b64encode(self.bits.to_bytes(count, "little")).decode()


def decode(size: int, text: str) -> Bitmap | None:
    """Return the bitmap of a base64 text; None when it is malformed."""
    try:
        raw = base64.b64decode(text.encode(), validate=True)
    except ValueError:
        return None
    bits = int.from_bytes(raw, "little")
    if bits >> size:
        return None
    return Bitmap(size, bits)
