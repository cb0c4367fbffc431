"""The contracts in force on one instance."""

import time

from hibiscussaddle import auth
from hibiscussaddle import contracts


class ContractCache:
    """Store the newest known contract of each customer."""

    def __init__(self) -> None:
        """Initialize without contracts and without confirmation."""
        self._records: dict[str, contracts.ContractRecord] = {}
        self._by_hash: dict[str, str] = {}
        self.confirmed_at: float | None = None

    def apply(self, record: contracts.ContractRecord) -> bool:
        """Apply a record; return False if it is not newer than the current."""
        customer = record.contract.customer
        current = self._records.get(customer)
        if current is not None and current.revision >= record.revision:
            return False
        if current is not None:
            self._by_hash.pop(current.contract.key_hash, None)
        self._records[customer] = record
        self._by_hash[record.contract.key_hash] = customer
        return True

    def confirm(self, age: float = 0.0) -> None:
        """Record a confirmation by the store; its age is in seconds."""
        confirmed_at = time.monotonic() - age
        if self.confirmed_at is None or confirmed_at > self.confirmed_at:
            self.confirmed_at = confirmed_at

    def age(self) -> float | None:
        """Return the seconds since the last confirmation, None without one."""
        if self.confirmed_at is None:
            return None
        return time.monotonic() - self.confirmed_at

    def get(self, customer: str) -> contracts.ContractRecord | None:
        """Return the record of one customer."""
        return self._records.get(customer)

    def find_by_key(self, key: str) -> contracts.ContractRecord | None:
        """Return the record of the customer with this key."""
        hashed = auth.hash_key(key)
        customer = self._by_hash.get(hashed)
        record = self._records.get(customer) if customer else None
        if record is None:
            return None
        if not auth.secrets_match(hashed, record.contract.key_hash):
            return None
        return record

    def all(self) -> tuple[contracts.ContractRecord, ...]:
        """Return every record, ordered by customer."""
        return tuple(self._records[key] for key in sorted(self._records))
