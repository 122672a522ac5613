from anvilwell_bench.slopes import plot
from anvilwell_decisions.capacity import data


def test_every_line_is_drawn(tmp_path):
    lines_by_name = data.lines_by_name(data.read())
    path = tmp_path / "plot.svg"

    plot.draw(lines_by_name, path)

    text = path.read_text()
    assert [
        name for name in lines_by_name if f"<!-- {name} -->" not in text
    ] == []
