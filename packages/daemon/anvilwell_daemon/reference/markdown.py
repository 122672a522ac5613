"""Tables in Markdown."""


def table(heads, rows):
    """Return the lines of a table."""
    rule = ["---"] * len(heads)
    return [_row(cells) for cells in (heads, rule, *rows)]


def _row(cells):
    texts = [cell.replace("|", "\\|") for cell in cells]
    return f"| {' | '.join(texts)} |"
