"""Test that the result codes match their documentation."""

import pathlib

from hibiscussaddle import codes

TABLE = pathlib.Path(__file__).parent.parent / "docs" / "result-codes.md"


def test_documented_table_matches_code() -> None:
    """Fails when a code changes without a run of 'make codes'."""
    assert TABLE.read_text() == codes.render_table()


def test_numbers_and_names_are_unique() -> None:
    """Fails when two codes share a number or a name."""
    numbers = [code.value.number for code in codes.Code]
    names = [code.value.name for code in codes.Code]
    assert len(set(numbers)) == len(numbers)
    assert len(set(names)) == len(names)
