"""Build test data with default values."""

import typing

from hibiscussaddle import auth
from hibiscussaddle import contracts
from hibiscussaddle import settings

CUSTOMER_KEY = "key-for-tests-0123456789"
SECRET = "secret-for-tests-0123456789"


def contract(**changes: typing.Any) -> contracts.Contract:
    """Return a contract of customer 'cereza'."""
    values: dict[str, typing.Any] = {
        "customer": "cereza",
        "key_hash": auth.hash_key(CUSTOMER_KEY),
        "staleness_versions": 1,
        "share": 0.5,
        "models": ("base",),
        "services": ("booking",),
        "idempotent": ("GET /quotes",),
    }
    values.update(changes)
    return contracts.Contract(**values)


def cfg(**changes: typing.Any) -> settings.Settings:
    """Return settings of instance 'entry-1' in zone 'zone-a'."""
    values: dict[str, typing.Any] = {
        "instance": "entry-1",
        "zone": "zone-a",
        "operator_secret": SECRET,
        "peer_secret": SECRET,
    }
    values.update(changes)
    return settings.Settings(**values)
