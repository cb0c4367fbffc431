"""Per-endpoint state that an instance derives from its observations."""

import collections
from collections import abc
import typing

from hibiscussaddle import endpoints

# Endpoints whose observations are kept; the least recently used ones are
# evicted, so that those in use keep their counts of runs. Four times the
# number of endpoints of the target fleet, since each restart brings a new id.
_MAX_ENDPOINTS: typing.Final = 4096

_T = typing.TypeVar("_T")


class Observations(typing.Generic[_T]):
    """Map incarnations of endpoints to observations, which start empty.

    Requests to an earlier incarnation may end after a new one was observed.
    """

    def __init__(self, create: abc.Callable[[], _T]) -> None:
        """Set the function that creates empty observations."""
        self._create = create
        # By key and incarnation.
        self._observations: collections.OrderedDict[tuple[str, int], _T]
        self._observations = collections.OrderedDict()

    def for_endpoint(self, endpoint: endpoints.Endpoint) -> _T:
        """Return the observations of an endpoint's incarnation."""
        return self.for_key(endpoint.id, endpoint.incarnation)

    def for_key(self, key: str, incarnation: int) -> _T:
        """Return the observations of an incarnation by its key."""
        found = self._observations.get((key, incarnation))
        if found is None:
            found = self._observations[key, incarnation] = self._create()
        self._observations.move_to_end((key, incarnation))
        if len(self._observations) > _MAX_ENDPOINTS:
            self._observations.popitem(last=False)
        return found
