"""Render responses of the operator port as plain text."""

from collections import abc
import json


def render(content: object) -> str:
    """Return rows as a table and a mapping as name and value lines."""
    if isinstance(content, abc.Mapping):
        width = max((len(str(name)) for name in content), default=0)
        return "\n".join(
            f"{name!s:<{width}}  {_cell(value)}"
            for name, value in content.items()
        )
    if isinstance(content, list) and content:
        return _render_rows(content)
    return "(none)" if content == [] else str(content)


def _render_rows(rows: list[abc.Mapping[str, object]]) -> str:
    columns = list(rows[0])
    cells = [[_cell(row.get(column)) for column in columns] for row in rows]
    widths = [
        max(len(line[i]) for line in [columns, *cells])
        for i in range(len(columns))
    ]
    return "\n".join(
        "  ".join(
            cell.ljust(width) for cell, width in zip(line, widths, strict=True)
        ).rstrip()
        for line in [columns, *cells]
    )


def _cell(value: object) -> str:
    if isinstance(value, (dict, list, tuple)):
        return json.dumps(value, sort_keys=True)
    return "" if value is None else str(value)
