"""Tests the reload of settings that change while the process runs."""

from anvilwell_gateway import config
from anvilwell_gateway import reloading

TEXT = """[daemon]
vm_id = side-1
failure_domain = a
[metrics]
listen = 10.0.0.7:9464

[keyvalue]
endpoint = 127.0.0.1:{port}
"""


def _reloader(tmp_path):
    path = tmp_path / "node.ini"
    path.write_text(TEXT.format(port=1))
    settings = config.load(path, "storage")
    taken = []
    return (
        path,
        taken,
        reloading.Reloader(path, "storage", settings, taken.append),
    )


def test_a_moved_store_is_taken(tmp_path):
    path, taken, reloader = _reloader(tmp_path)

    reloader.reload()
    assert taken == []
    path.write_text(TEXT.format(port=2))
    reloader.reload()

    assert [section.endpoint.port for section in taken] == [2]


def test_settings_that_can_not_be_read_change_nothing(tmp_path):
    path, taken, reloader = _reloader(tmp_path)

    path.write_text("[daemon]\n")
    reloader.reload()
    path.unlink()
    reloader.reload()

    assert taken == []
