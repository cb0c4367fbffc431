"""Render answers of the operator port as plain text."""

from collections import abc
import json


def render(found: object) -> str:
    """Return rows as a table and a mapping as name and value lines."""
    if isinstance(found, abc.Mapping):
        width = max((len(str(name)) for name in found), default=0)
        return "\n".join(
            f"{name!s:<{width}}  {_cell(value)}"
            for name, value in found.items()
        )
    if isinstance(found, list) and found:
        return _render_rows(found)
    return "(none)" if found == [] else str(found)


def _render_rows(rows: list[abc.Mapping[str, object]]) -> str:
    names = list(rows[0])
    cells = [[_cell(row.get(name)) for name in names] for row in rows]
    widths = [
        max(len(line[i]) for line in [names, *cells])
        for i in range(len(names))
    ]
    return "\n".join(
        "  ".join(
            cell.ljust(width) for cell, width in zip(line, widths, strict=True)
        ).rstrip()
        for line in [names, *cells]
    )


def _cell(value: object) -> str:
    if isinstance(value, (dict, list, tuple)):
        return json.dumps(value, sort_keys=True)
    return "" if value is None else str(value)
