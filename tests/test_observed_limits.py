"""Guard how the rate limits that endpoints name are read."""

import httpx
import pytest

from hibiscussaddle.platform import endpoint_wire
from hibiscussaddle.rate_limits import observed

import batch_builders
import limit_builders


@pytest.mark.parametrize(
    ("values", "rate"),
    [
        ([], None),
        (["4"], 4.0),
        (["0"], 0.0),
        (["0.001"], 0.001),
        (["1e30"], 1e30),
        (["7", "2.5"], 2.5),
        (["7, 2.5"], 2.5),
        (["many", "3"], 3.0),
    ],
)
def test_lowest_valid_limit_counts(
    values: list[str], rate: float | None
) -> None:
    """Fails when a limit is misread or the higher one of two applies."""
    assert endpoint_wire.decode_rate_limit(values) == rate


@pytest.mark.parametrize("value", ["many", "-1", "nan", "inf", "1 2"])
def test_malformed_limit_is_an_error(value: str) -> None:
    """Fails when an unreadable limit counts as a limit or as none."""
    with pytest.raises(ValueError, match="not a number of requests"):
        endpoint_wire.decode_rate_limit([value])


def _observe(*responses: httpx.Response) -> float | None:
    limits = observed.ObservedLimits()
    endpoint = batch_builders.engine("engine-1")
    for number, resp in enumerate(responses):
        limits.observe(endpoint, resp, "r-1", float(number))
    return limits.limit(endpoint.id, endpoint.incarnation).rate


def test_limit_lasts_until_a_run_names_none() -> None:
    """Fails when a limit is forgotten early or kept after its end."""
    named = limit_builders.response(200, "2")
    assert _observe(named) == 2.0
    assert _observe(named, limit_builders.response(200)) is None
    # Refusals and failures may leave the header out.
    assert _observe(named, limit_builders.response(503)) == 2.0
    assert _observe(named, limit_builders.response(200, "lots")) == 2.0
    assert _observe(limit_builders.response(503, "2")) == 2.0
    # Another endpoint at the address responded.
    assert _observe(named, limit_builders.response(421, "9")) == 2.0


def test_new_incarnation_has_no_limit() -> None:
    """Fails when a restarted endpoint keeps the limit of its predecessor."""
    limits = observed.ObservedLimits()
    before = batch_builders.engine("engine-1", incarnation=1)
    limits.observe(before, limit_builders.response(200, "2"), "r-1", 1.0)
    after = batch_builders.engine("engine-1", incarnation=2)
    assert limits.limit(after.id, after.incarnation).rate is None


def test_older_report_of_a_peer_does_not_count() -> None:
    """Fails when a peer that lags brings an ended limit back."""
    limits = observed.ObservedLimits()
    assert limits.apply("engine-1", 1, 2.0, 5.0, "r-1")
    assert limits.apply("engine-1", 1, None, 7.0, "r-2")
    assert not limits.apply("engine-1", 1, 2.0, 6.0, "peer")
    assert limits.limit("engine-1", 1).rate is None
