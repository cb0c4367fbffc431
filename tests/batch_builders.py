"""Build batches, endpoints and routes for tests."""

import typing

from hibiscussaddle.batches import events
from hibiscussaddle.batches import model
from hibiscussaddle import endpoints
from hibiscussaddle.routes import routing_config
from hibiscussaddle.scheduling import order
from hibiscussaddle.scoring import model as scoring_model


def item(item_id: str = "item-1", **changes: typing.Any) -> model.Item:
    """Return an item of group 'group-1'."""
    values: dict[str, typing.Any] = {
        "id": item_id,
        "path": "/rollouts/1",
        "headers": {},
        "body": b"prompt",
        "tokens": 100,
        "group": "group-1",
    }
    values.update(changes)
    return model.Item(**values)


def scored_item(item_id: str = "item-1", **changes: typing.Any) -> model.Item:
    """Return an item whose text needs a score."""
    call = scoring_model.ScoringCall(
        f"score-{item_id}", "desk.example", "/checks/1", b"check"
    )
    return item(item_id, scoring=call, **changes)


def batch(*items: model.Item, **changes: typing.Any) -> model.Batch:
    """Return a batch of model 'base' on route 'rollouts'."""
    values: dict[str, typing.Any] = {
        "id": "batch-1",
        "route": "rollouts",
        "host": "desk.example",
        "items": items or (item(),),
        "submitted_at": 0.0,
        "model": "base",
        "step": 1,
        "min_version": 1,
        "groups_wanted": 1,
    }
    values.update(changes)
    return model.Batch(**values)


def rank(submitted_at: float, batch_id: str, position: int) -> order.Rank:
    """Return the rank of an item whose group counts."""
    return order.Rank(True, 0, 0, True, submitted_at, batch_id, position)


def engine(endpoint_id: str, **changes: typing.Any) -> endpoints.Endpoint:
    """Return an engine of service 'engines' with model 'base'."""
    values: dict[str, typing.Any] = {
        "id": endpoint_id,
        "kind": endpoints.EndpointKind.ENGINE,
        "zone": "zone-a",
        "address": f"http://{endpoint_id}",
        "incarnation": 1,
        "models": ("base",),
        "service": "engines",
        "slots": 4,
        "weight_versions": (("base", 1),),
    }
    values.update(changes)
    return endpoints.Endpoint(**values)


def route(**changes: typing.Any) -> routing_config.Route:
    """Return a route of batches to service 'engines'."""
    values: dict[str, typing.Any] = {
        "name": "rollouts",
        "host": "desk.example",
        "prefix": "/rollouts/",
        "kind": routing_config.RouteKind.BATCH,
        "splits": (routing_config.Split("engines", 1.0),),
        "timeout": 10.0,
        "latency_target": 0.5,
        "max_attempts": 3,
    }
    values.update(changes)
    return routing_config.Route(**values)


def transcript(
    count: int, versions: tuple[int, ...] = (1,)
) -> events.Transcript:
    """Return a transcript of events 1 to count."""
    texts = [f"text {number}" for number in range(1, count + 1)]
    return events.Transcript(texts, count, set(versions))
