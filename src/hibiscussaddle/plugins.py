"""Import every module that registers a component."""

import importlib
import pkgutil
import types

from hibiscussaddle import controllers
from hibiscussaddle import filters
from hibiscussaddle import handlers
from hibiscussaddle import operations


def import_components() -> None:
    """Import the modules of the registries, which fills them."""
    for package in (filters, handlers, controllers, operations):
        _import_modules(package)


def _import_modules(package: types.ModuleType) -> None:
    for module_info in pkgutil.iter_modules(package.__path__):
        importlib.import_module(f"{package.__name__}.{module_info.name}")
