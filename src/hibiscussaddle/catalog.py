"""Endpoints of one target, cached until the directory changes."""

from collections import abc
import dataclasses
import random
import typing

from hibiscussaddle import endpoints

# Endpoints looked at for one choice. A choice among all 950 endpoints took
# 8.4 ms; two random ones of a sample balance nearly as well as two of all.
SAMPLED_NEAR: typing.Final = 16
SAMPLED_FAR: typing.Final = 8
SAMPLED_HOLDERS: typing.Final = 8


@dataclasses.dataclass(frozen=True)
class Catalog:
    """Hold the endpoints that may get work of one target."""

    revision: int
    all: tuple[endpoints.Endpoint, ...]
    near: tuple[endpoints.Endpoint, ...]
    far: tuple[endpoints.Endpoint, ...]
    slots: float

    def is_small(self) -> bool:
        """Tell whether looking at every endpoint costs little."""
        return len(self.all) <= SAMPLED_NEAR + SAMPLED_FAR

    def sample(
        self,
        has_prefix: abc.Callable[[endpoints.Endpoint], bool] | None,
        rng: random.Random,
    ) -> list[endpoints.Endpoint]:
        """Return random near and far endpoints and some prefix holders."""
        near = rng.sample(self.near, min(SAMPLED_NEAR, len(self.near)))
        far = rng.sample(self.far, min(SAMPLED_FAR, len(self.far)))
        chosen = {ep.id: ep for ep in (*near, *far)}
        if has_prefix is not None:
            holders = [ep for ep in self.all if has_prefix(ep)]
            for ep in holders[:SAMPLED_HOLDERS]:
                chosen[ep.id] = ep
        return list(chosen.values())


def create_catalog(
    revision: int, found: tuple[endpoints.Endpoint, ...], zone: str
) -> Catalog:
    """Return the endpoints of a target as seen from a zone."""
    return Catalog(
        revision,
        found,
        tuple(ep for ep in found if ep.zone == zone),
        tuple(ep for ep in found if ep.zone != zone),
        float(sum(ep.slots for ep in found)),
    )
