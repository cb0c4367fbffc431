"""Test that no number from outside is too odd to calculate with."""

import json
import math
import pathlib
import re
import typing

import msgspec
import pytest

from hibiscussaddle.batches import competition
from hibiscussaddle.batches import step_demand
from hibiscussaddle import decoding
from hibiscussaddle import endpoints
from hibiscussaddle.fleet import member
from hibiscussaddle.platform import batch_wire
from hibiscussaddle.platform import config_wire
from hibiscussaddle.platform import control_wire
from hibiscussaddle.platform import endpoint_wire
from hibiscussaddle.platform import store_wire
from hibiscussaddle.policy import engine_demand

import batch_builders

ODD_NUMBERS: typing.Final = (
    *("nan", "inf", "-inf", "1e308", "1e999", "-1", "0", "1e-320", "x", ""),
    "9" * 400,
)
_WIRE_MODULES: typing.Final = (
    batch_wire,
    config_wire,
    control_wire,
    endpoint_wire,
    member,
    store_wire,
)
# Encoded only.
_SENT_TYPES: typing.Final = ("_CapacityOrder", "_Result", "_Results")
_CONVERSION: typing.Final = re.compile(r"\b(?:float|int)\((?!\")")


def _expected_output(estimate: str) -> float | None:
    item = {"id": "i", "path": "/", "body": "", "tokens": 1751}
    value = {"items": [{**item, "headers": {"X-Length-Hint": estimate}}]}
    batch = batch_wire.decode_batch(
        "b", "r", "h", json.dumps(value).encode(), 0.0
    )
    return batch.items[0].expected_output


@pytest.mark.parametrize("estimate", ODD_NUMBERS)
def test_estimate_of_an_item_is_within_its_tokens(estimate: str) -> None:
    """Fails when a caller's estimate can overflow what is computed of it.

    An estimate of 1e308 ended each owner of its batch.
    """
    expected = _expected_output(estimate)
    assert expected is None or 0 <= expected <= 1751


@pytest.mark.parametrize("estimate", ODD_NUMBERS[:8])
def test_estimate_in_a_stored_batch_breaks_nothing(estimate: str) -> None:
    """Fails when a batch that an older build accepted ends its owner."""
    rivals = competition.Competition()
    for expected in (float(estimate), 700.0):
        for _ in range(3):
            events = rivals.record_length("rollouts", expected, 60)
            assert math.isfinite(events)
    left = rivals.lengths("rollouts").events_left(float(estimate), 10)
    assert math.isfinite(left) and left >= 5


def test_estimates_of_one_batch_leave_those_of_others_alone() -> None:
    """Fails when one odd estimate spoils all estimates of its route."""
    rivals = competition.Competition()
    for estimate in map(float, ODD_NUMBERS[:8]):
        rivals.record_length("rollouts", estimate, 60)
    for _ in range(3):
        rivals.record_length("rollouts", 700.0, 70)
    expected = rivals.lengths("rollouts").expected_events(700.0)
    assert expected == pytest.approx(70)


def test_tokens_that_no_engine_holds_are_refused() -> None:
    """Fails when a batch is accepted whose tokens can't be added up."""
    item = {"id": "i", "path": "/", "body": "", "tokens": decoding.MAX_INT}
    with pytest.raises(ValueError):
        batch_wire.decode_batch(
            "b", "r", "h", json.dumps({"items": [item]}).encode(), 0.0
        )


def test_demand_of_any_stored_step_fits_into_a_member_key() -> None:
    """Fails when the tokens of a step can't be published."""
    directory = endpoints.Directory()
    directory.put(batch_builders.engine("e-1"))
    directory.put(batch_builders.engine("e-2", models=("other",)))
    published: list[int] = []
    demand = step_demand.StepDemand(
        directory, lambda _model, _route, value: published.append(value)
    )
    tracker = engine_demand.DemandTracker()
    items = [
        batch_builders.item(f"i-{n}", tokens=decoding.MAX_INT)
        for n in range(24)
    ]
    demand.record(batch_builders.batch(*items))
    total = engine_demand.step_demand(map(step_demand.to_tokens, items))
    for at in (0.0, 1.0, 2.0):
        value = tracker.record_step("base", "rollouts", total, at)
    assert value is not None
    key = member.Member("i", "z", 1, demands={"base": {"rollouts": value}})
    encoded = msgspec.json.encode(key)
    assert decoding.decode_json(encoded, member.Member) == key


@pytest.mark.parametrize("value", ["nan", "inf", "-1", "x"])
def test_odd_rate_limit_is_no_limit(value: str) -> None:
    """Fails when an endpoint's limit that is no rate is applied."""
    with pytest.raises(ValueError):
        endpoint_wire.decode_rate_limit([value])
    assert endpoint_wire.decode_rate_limit([value, "3"]) == 3


@pytest.mark.parametrize(
    ("field", "number"),
    [
        ("timeoutMs", "1e308"),
        ("targetLatencyMs", "-1"),
        ("retentionS", "1e300"),
        ("resultDeadlineMs", "-1e300"),
    ],
)
def test_odd_number_in_a_configuration_is_refused(
    field: str, number: str
) -> None:
    """Fails when a configuration sets a time that can't be added to a clock.

    The configuration before it stays in force.
    """
    route = {
        "name": "r",
        "host": "h",
        "prefix": "/",
        "kind": "rollout",
        "timeoutMs": 1,
        "targetLatencyMs": 1,
    }
    data = json.dumps({"version": 1, "routes": [{**route, field: "?"}]})
    with pytest.raises(ValueError):
        config_wire.decode_config(data.replace('"?"', number).encode())


def test_all_decoded_numbers_are_bounded() -> None:
    """Fails when a field of a wire format accepts any number."""
    unbounded = []
    for module in _WIRE_MODULES:
        for name, struct in vars(module).items():
            is_struct = isinstance(struct, type) and issubclass(
                struct, msgspec.Struct
            )
            if not is_struct or name in _SENT_TYPES:
                continue
            info = msgspec.inspect.type_info(struct)
            assert isinstance(info, msgspec.inspect.StructType)
            unbounded += [
                f"{module.__name__}.{name}.{field.name}"
                for field in info.fields
                if not _is_bounded(field.type)
            ]
    assert not unbounded


def _is_bounded(found: msgspec.inspect.Type) -> bool:
    if isinstance(found, (msgspec.inspect.IntType, msgspec.inspect.FloatType)):
        return found.ge is not None and found.le is not None
    if isinstance(found, msgspec.inspect.UnionType):
        return all(map(_is_bounded, found.types))
    if isinstance(found, msgspec.inspect.DictType):
        return _is_bounded(found.key_type) and _is_bounded(found.value_type)
    if isinstance(found, msgspec.inspect.ListType):
        return _is_bounded(found.item_type)
    return True


def test_texts_become_numbers_in_one_module() -> None:
    """Fails when a number from outside is parsed without its bounds."""
    folder = pathlib.Path(batch_wire.__file__).parent
    found = [
        f"{path.name}: {line.strip()}"
        for path in sorted(folder.glob("*.py"))
        for line in path.read_text().splitlines()
        if _CONVERSION.search(line) and "timeout * 1000" not in line
    ]
    assert found == ["store_wire.py: ttl_ms = int(ttl * 1000)"]
