"""Which workspace a batch belongs to and who may use it."""

import dataclasses

from hibiscussaddle.batches import model
from hibiscussaddle.customers import headers


def assign(batch: model.Batch, workspace: str) -> model.Batch:
    """Return a batch of a workspace, without headers that only we may set.

    The workspace is empty for a batch of a public route.
    """
    return dataclasses.replace(
        batch,
        workspace=workspace,
        items=tuple(map(_without_reserved_headers, batch.items)),
    )


def _without_reserved_headers(item: model.Item) -> model.Item:
    kept = dict(headers.forwarded(item.headers.items()))
    if len(kept) == len(item.headers):
        return item
    return dataclasses.replace(item, headers=kept)
