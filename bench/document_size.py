"""Print the largest size of a contract's document and what it costs.

Run with 'PYTHONPATH=src:tests python -m bench.document_size'.
"""

import typing

import builders
from hibiscussaddle.policy import contract_document as documents

CHANGES_A_DAY: typing.Final = 2200
SECONDS_A_DAY: typing.Final = 86_400


def _change(document: documents.Document) -> documents.Document:
    after = builders.contract().to_dict()
    entry = documents.AuditEntry(
        "operator",
        1.0,
        "0123456789abcdef",
        "a reason of usual length",
        document.revision + 1,
        document.revision,
        documents.Outcome.ACCEPTED,
        document.contract,
        after,
    )
    return document.record(entry)


def main() -> None:
    """Fill documents up to the archive limit and print their sizes."""
    for entries in (20, 100, 500):
        document = documents.Document()
        for _ in range(entries):
            document = _change(document)
        size = len(documents.encode_bytes(document))
        rate = size * CHANGES_A_DAY / SECONDS_A_DAY
        limit = documents.MAX_AUDIT_ENTRIES
        print(
            f"entries={entries} limit={limit} bytes={size} "
            f"bytes_per_second_at_target={rate:.0f}"
        )


if __name__ == "__main__":
    main()
