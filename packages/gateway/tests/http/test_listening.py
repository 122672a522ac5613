"""Tests that callers can connect while the program is still loading."""

import socket

from anvilwell_gateway.http import listening


def _settings(tmp_path, listen, ready):
    path = tmp_path / "node.ini"
    path.write_text(f"[entry]\nlisten = {listen}\nready = {ready}\n")
    return path


def _free_address():
    with socket.create_server(("127.0.0.1", 0)) as server:
        return f"127.0.0.1:{server.getsockname()[1]}"


def test_callers_are_not_reset_before_the_program_is_loaded(tmp_path):
    listen, ready = _free_address(), _free_address()

    early = listening.open_early(_settings(tmp_path, listen, ready))

    assert early.problems == ()
    for address in (listen, ready):
        host, _, port = address.rpartition(":")
        socket.create_connection((host, int(port)), timeout=5).close()
        early.take(address).close()
    assert early.take(listen) is None


def test_problems_of_the_settings_are_left_to_the_later_start(tmp_path):
    for path in (tmp_path / "none.ini", _settings(tmp_path, "x:y", "z")):
        early = listening.open_early(path)

        assert early.sockets_by_address == {}
        assert len(early.problems) == 1
