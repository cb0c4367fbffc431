"""Print the size of a contract document and its write rate.

Run with 'PYTHONPATH=src:tests python -m bench.document_size'.
"""

import typing

import builders
from hibiscussaddle.policy import contract_document as documents

CHANGES_PER_DAY: typing.Final = 2200
SECONDS_PER_DAY: typing.Final = 86_400


def _record_change(document: documents.Document) -> documents.Document:
    contract = builders.contract().to_dict()
    entry = documents.AuditEntry(
        "operator",
        1.0,
        "0123456789abcdef",
        "a reason of usual length",
        document.revision + 1,
        document.revision,
        documents.Outcome.ACCEPTED,
        document.contract,
        contract,
    )
    return document.record(entry)


def main() -> None:
    """Fill documents up to the archive limit and print their sizes."""
    for entries in (20, 100, 500):
        document = documents.Document()
        for _ in range(entries):
            document = _record_change(document)
        size = len(documents.encode_bytes(document))
        rate = size * CHANGES_PER_DAY / SECONDS_PER_DAY
        limit = documents.MAX_AUDIT_ENTRIES
        print(
            f"entries={entries} limit={limit} bytes={size} "
            f"bytes_per_second_at_target={rate:.0f}"
        )


if __name__ == "__main__":
    main()
