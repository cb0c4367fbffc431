"""Callers' batch messages, decoded into batches and encoded from results."""

import base64
import typing
import urllib.parse

import msgspec

from hibiscussaddle.batches import model
from hibiscussaddle.batches import reader
from hibiscussaddle.platform import endpoint_wire
from hibiscussaddle.scoring import model as scoring_model

RESULTS_PATH: typing.Final = "/-/lots/"
ITEMS_PATH: typing.Final = "/-/items/"
# How long a read may wait for the first result, in milliseconds.
WAIT_HEADER: typing.Final = "x-wait-ms"
# Largest page of results, in bytes of text; the limit is a megabyte with
# all other fields and JSON escapes.
MAX_PAGE_BYTES: typing.Final = 800_000

_OUTCOMES: typing.Final = {
    model.Outcome.COMPLETED: "completed",
    model.Outcome.DEAD: "dead",
}


class _ScoringCall(msgspec.Struct):
    id: str
    host: str
    path: str
    # Base64.
    body: str = ""


class _Item(msgspec.Struct, rename="camel"):
    id: str
    path: str
    # Base64.
    body: str
    headers: dict[str, str] = {}
    # Prompt tokens and the most output tokens.
    tokens: int = 0
    group: str = ""
    scoring_call: _ScoringCall | None = None


class _Submission(msgspec.Struct, rename="camel"):
    items: list[_Item]
    model: str = ""
    step: int | None = None
    min_version: int = 0
    # Complete groups that the trainer waits for, not those of the batch.
    group_count: int = 0


class _Result(msgspec.Struct):
    id: str
    state: str
    text: str
    versions: list[int]
    # Proof of the scoring call's answer.
    score: str | msgspec.UnsetType = msgspec.UNSET


class _Results(msgspec.Struct, rename="camel"):
    total: int
    # Position after the last result, not a token of any kind.
    next_token: int
    results: list[_Result]


def decode_batch(
    batch_id: str, route: str, host: str, body: bytes, now: float
) -> model.Batch:
    """Return the batch of a submission; ValueError when it is malformed."""
    found = msgspec.json.decode(body, type=_Submission)
    items = tuple(_to_item(item) for item in found.items)
    if not items or len({item.id for item in items}) != len(items):
        raise ValueError("a batch needs items with different ids")
    return model.Batch(
        id=batch_id,
        route=route,
        host=host,
        items=items,
        submitted_at=now,
        model=found.model,
        step=found.step,
        min_version=found.min_version,
        groups_wanted=found.group_count,
    )


def encode_page(page: reader.Page, position: int) -> bytes:
    """Return the body that answers a read from a position."""
    results = [
        _Result(
            found.item_id,
            _OUTCOMES[found.outcome],
            found.text,
            list(found.versions),
            found.score or msgspec.UNSET,
        )
        for found in page.results
    ]
    return msgspec.json.encode(
        _Results(page.total, position + len(results), results)
    )


def decode_position(query: str) -> int:
    """Return the position that a read starts from."""
    values = urllib.parse.parse_qs(query).get("after", ["0"])
    position = int(values[0])
    if position < 0:
        raise ValueError(f"position {position} is negative")
    return position


def decode_item_id(query: str) -> str:
    """Return the item whose body is read."""
    values = urllib.parse.parse_qs(query).get("id")
    if not values:
        raise ValueError("the query names no item")
    return values[0]


def _to_item(item: _Item) -> model.Item:
    headers = {name.lower(): value for name, value in item.headers.items()}
    body = base64.b64decode(item.body, validate=True)
    return model.Item(
        id=item.id,
        path=item.path,
        headers=headers,
        body=body,
        tokens=item.tokens,
        group=item.group,
        expected_output=_expected_output(headers),
        scoring=_to_scoring(item.scoring_call),
    )


def _to_scoring(
    call: _ScoringCall | None,
) -> scoring_model.ScoringCall | None:
    if call is None:
        return None
    body = base64.b64decode(call.body, validate=True)
    return scoring_model.ScoringCall(call.id, call.host, call.path, body)


def _expected_output(headers: dict[str, str]) -> float | None:
    try:
        return float(headers[endpoint_wire.OUTPUT_TOKENS_ESTIMATE_HEADER])
    except (KeyError, ValueError):
        # Callers need not send an estimate, and it decides nothing but order.
        return None
