"""Import every module that registers a component."""

import importlib
import pkgutil
import types

from hibiscussaddle import controllers
from hibiscussaddle import filters
from hibiscussaddle import handlers
from hibiscussaddle import operations


def load_all() -> None:
    """Fill the registries."""
    for package in (filters, handlers, controllers, operations):
        _import_modules(package)


def _import_modules(package: types.ModuleType) -> None:
    for found in pkgutil.iter_modules(package.__path__):
        importlib.import_module(f"{package.__name__}.{found.name}")
