"""Wire format of batch submissions and result pages."""

import base64
import typing
import urllib.parse

import msgspec

from hibiscussaddle.batches import cached_batch
from hibiscussaddle.batches import model
from hibiscussaddle.batches import slices
from hibiscussaddle import decoding
from hibiscussaddle.platform import endpoint_wire
from hibiscussaddle.scoring import model as scoring_model

# A "lot" of the protocol is a batch.
RESULTS_PATH: typing.Final = "/-/lots/"
ITEMS_PATH: typing.Final = "/-/items/"
# Milliseconds that a read may wait for its first result.
WAIT_HEADER: typing.Final = "x-wait-ms"
# Limit of the text in a page of results. The protocol limits the whole page,
# with all other fields and JSON escapes, to a megabyte.
MAX_PAGE_TEXT_BYTES: typing.Final = 800_000

# Items that are decoded without letting other tasks run in between.
_ITEMS_PER_SLICE: typing.Final = 256

_OUTCOMES: typing.Final = {
    model.Outcome.COMPLETED: "completed",
    model.Outcome.DEAD: "dead",
}


# Parts of an item that become the head of a request. Others are refused, since
# no engine could ever run the item.
_Id: typing.TypeAlias = typing.Annotated[
    str, msgspec.Meta(pattern="^[!-~]+\\Z")
]
_Path: typing.TypeAlias = typing.Annotated[
    str, msgspec.Meta(pattern="^/[!-~]*\\Z")
]
_HeaderName: typing.TypeAlias = typing.Annotated[
    str, msgspec.Meta(pattern="^[!#$%&'*+.^_`|~0-9A-Za-z-]+\\Z")
]
# Sent as UTF-8.
_HeaderValue: typing.TypeAlias = typing.Annotated[
    str, msgspec.Meta(pattern="^[^\\x00-\\x08\\x0a-\\x1f\\x7f]*\\Z")
]


class _ScoringCall(msgspec.Struct):
    id: _Id
    host: _Id
    path: _Path
    # Base64.
    body: str = ""


class _Item(msgspec.Struct, rename="camel"):
    id: _Id
    path: _Path
    # Base64.
    body: str
    headers: dict[_HeaderName, _HeaderValue] = {}
    # Prompt tokens plus the maximum number of output tokens.
    tokens: decoding.WholeAmount = 0
    group: str = ""
    scoring_call: _ScoringCall | None = None


class _Submission(msgspec.Struct, rename="camel"):
    items: list[_Item]
    model: str = ""
    step: decoding.Int | None = None
    min_version: decoding.Int = 0
    # Number of complete groups that the trainer waits for, not the number of
    # groups in the batch.
    group_count: decoding.Int = 0


class _Result(msgspec.Struct):
    id: str
    state: str
    text: str
    versions: list[int]
    # Proof of the scoring call's response, not a number.
    score: str | msgspec.UnsetType = msgspec.UNSET


class _Results(msgspec.Struct, rename="camel"):
    total: int
    # Position after the last result; not a token.
    next_token: int
    results: list[_Result]


def decode_batch(
    batch_id: str,
    route: str,
    host: str,
    body: bytes | bytearray,
    now: float,
) -> model.Batch:
    """Return the batch of a submission; raise ValueError if malformed."""
    return slices.run_at_once(
        decode_batch_in_slices(batch_id, route, host, body, now)
    )


def decode_batch_in_slices(
    batch_id: str,
    route: str,
    host: str,
    body: bytes | bytearray,
    now: float,
) -> slices.Steps[model.Batch]:
    """Do the same in slices."""
    found = decoding.decode_json(body, _Submission)
    ids = {item.id for item in found.items}
    if not ids or len(ids) != len(found.items):
        raise ValueError(
            "a batch needs at least one item, and its item IDs must be unique"
        )
    items: list[model.Item] = []
    # Items share what is equal, which is most of a short item.
    shared: dict[str, str] = {}
    shared_headers: dict[tuple[tuple[str, str], ...], dict[str, str]] = {}
    for number, item in enumerate(found.items):
        if number % _ITEMS_PER_SLICE == _ITEMS_PER_SLICE - 1:
            yield
        headers = {name.lower(): value for name, value in item.headers.items()}
        items.append(
            _to_item(
                item,
                shared_headers.setdefault(tuple(headers.items()), headers),
                shared,
            )
        )
    return model.Batch(
        id=batch_id,
        route=route,
        host=host,
        items=tuple(items),
        submitted_at=now,
        model=found.model,
        step=found.step,
        min_version=max(0, found.min_version),
        groups_wanted=max(0, found.group_count),
    )


def encode_page(page: cached_batch.Page, position: int) -> bytes:
    """Return the response body of a read from a position."""
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
    """Return the position at which a read starts."""
    values = urllib.parse.parse_qs(query).get("after", ["0"])
    return decoding.parse_count(values[0])


def decode_item_id(query: str) -> str:
    """Return the ID of the item whose body is requested."""
    values = urllib.parse.parse_qs(query).get("id")
    if not values:
        raise ValueError("the query has no item ID (id=...)")
    return values[0]


def _to_item(
    item: _Item, headers: dict[str, str], shared: dict[str, str]
) -> model.Item:
    body = base64.b64decode(item.body, validate=True)
    return model.Item(
        id=item.id,
        path=shared.setdefault(item.path, item.path),
        headers=headers,
        body=body,
        tokens=item.tokens,
        group=shared.setdefault(item.group, item.group),
        expected_output=_expected_output(headers, item.tokens),
        scoring=_to_scoring_call(item.scoring_call),
    )


def _to_scoring_call(
    call: _ScoringCall | None,
) -> scoring_model.ScoringCall | None:
    if call is None:
        return None
    body = base64.b64decode(call.body, validate=True)
    return scoring_model.ScoringCall(call.id, call.host, call.path, body)


def _expected_output(headers: dict[str, str], tokens: int) -> float | None:
    """Return the caller's estimate, at most the tokens that an item may use.

    The estimate is optional and affects only the order of execution.
    """
    try:
        expected = decoding.parse_amount(
            headers[endpoint_wire.OUTPUT_TOKENS_ESTIMATE_HEADER]
        )
    except (KeyError, ValueError):
        return None
    return min(expected, tokens) if tokens else expected
