"""Callers that connect while the program is still loading."""

import socket

from anvilwell_gateway.http import listening


def _settings(tmp_path, listen, ready):
    path = tmp_path / "node.ini"
    path.write_text(f"[entry]\nlisten = {listen}\nready = {ready}\n")
    return path


def _free():
    with socket.create_server(("127.0.0.1", 0)) as server:
        return f"127.0.0.1:{server.getsockname()[1]}"


def test_callers_are_not_reset_before_the_program_is_loaded(tmp_path):
    listen, ready = _free(), _free()

    early = listening.open_early(_settings(tmp_path, listen, ready))

    assert early.problems == ()
    for address in (listen, ready):
        host, _, port = address.rpartition(":")
        socket.create_connection((host, int(port)), timeout=5).close()
        early.take(address).close()
    assert early.take(listen) is None


def test_what_is_wrong_leaves_the_start_to_tell_it(tmp_path):
    for path in (tmp_path / "none.ini", _settings(tmp_path, "x:y", "z")):
        early = listening.open_early(path)

        assert early.sockets_by_address == {}
        assert len(early.problems) == 1
