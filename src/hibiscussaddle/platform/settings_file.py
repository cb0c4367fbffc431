"""Read what the platform's settings file says of a machine.

The deploy file passes the settings that every deployment has as variables. The
others stand only here, so that a platform without them still starts a gateway.
"""

from collections import abc
import logging
import tomllib
import typing

from hibiscussaddle import logs

_LOG = logging.getLogger(__name__)

# Setting of a gateway by section and field of the file.
_SETTINGS: typing.Final[abc.Mapping[tuple[str, str], str]] = {
    ("limits", "memoryMb"): "memory_mb",
    ("limits", "fileDescriptors"): "file_descriptors",
    ("bounds", "strictRevocation"): "strict_revocation",
    ("bounds", "revokeMs"): "revocation_ms",
    ("bounds", "usageWindowS"): "usage_window_seconds",
    ("bounds", "usageLateS"): "usage_late_seconds",
    ("cloudApi", "address"): "control_address",
    ("cloudApi", "duties"): "control_duties",
    ("cloudApi", "dutyPerS"): "control_calls_per_second",
}


def decode(text: str) -> dict[str, str]:
    """Return the settings in a file; raise ValueError if malformed."""
    document = tomllib.loads(text)
    found: dict[str, str] = {}
    for (section, field), name in _SETTINGS.items():
        values = document.get(section)
        value = values.get(field) if isinstance(values, dict) else None
        if value is not None:
            found[name] = _to_text(value)
    return found


def read(path: str) -> dict[str, str]:
    """Return the settings in a file, none if there is no such file.

    Raises ValueError if the file can't be read or is malformed.
    """
    try:
        with open(path, encoding="utf-8") as file:
            return decode(file.read())
    except FileNotFoundError:
        # The defaults bound nothing, which an operator must know.
        logs.event(_LOG, "settings_file_missing", logging.WARNING, path=path)
        return {}
    except (OSError, ValueError) as exc:
        raise ValueError(f"{path}: {exc}") from exc


def _to_text(value: object) -> str:
    if isinstance(value, bool):
        return str(value).lower()
    if isinstance(value, list):
        return ",".join(map(str, value))
    return str(value)
