"""Formats tables as plain text."""

from collections.abc import Iterable, Sequence


def format_table(
    heading: Sequence[str], rows: Iterable[Sequence[object]]
) -> str:
    """Return rows aligned under a heading, with two spaces between columns."""
    cells = [tuple(heading), *(tuple(map(str, row)) for row in rows)]
    widths = [max(map(len, column)) for column in zip(*cells, strict=True)]
    return '\n'.join(
        '  '.join(
            cell.ljust(width) for cell, width in zip(row, widths, strict=True)
        ).rstrip()
        for row in cells
    )
