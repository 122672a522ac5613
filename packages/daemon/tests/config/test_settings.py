"""The daemon's settings: defaults, and all that is wrong at once."""

import pytest

from anvilwell_daemon import config
from anvilwell_kernel import exceptions

ENTRY = """\
[daemon]
vm_id = entry-1
role = entry
failure_domain = kamnik-hall
[entry]
listen = 127.0.0.1:8080
admin = 127.0.0.1:8081
operator_token = hunter2
[peers]
listen = 127.0.0.1:7300
[keyvalue]
endpoints = 127.0.0.1:2379, [::1]:2379
"""
BAD = {
    "agent-as-entry": (
        "[daemon]\nvm_id = 1\nrole = agent\nfailure_domain = a\n"
        "[entry]\nlisten = localhost:1\nadmin = :5\n"
        "[keyvalue]\nendpoints =\ntimeout_s = 0\n[peers]\nlisten = 1.1.1.1\n"
    ),
    "entry-without-entry": (
        "[daemon]\nvm_id = 1\nrole = entry\nfailure_domain = a\n"
        "[keyvalue]\nendpoints =\n"
    ),
    "unknown": ENTRY.replace("listen", "lisen"),
    "secret": ENTRY.replace("hunter2", "\n").replace("[keyv", "hunter2\n[k"),
}


def test_loads_fills_in_defaults():
    settings = config.loads(ENTRY, "entry.ini")

    assert settings.is_entry
    assert str(settings.listener) == "127.0.0.1:7300"
    assert settings.keyvalue.endpoints[1].host == "::1"
    assert settings.daemon.drain_limit_s == 30.0


def test_secret_is_never_shown():
    settings = config.loads(ENTRY, "entry.ini")

    assert "hunter2" not in repr(settings)
    assert settings.entry.operator_token.get_secret_value() == "hunter2"


@pytest.mark.parametrize("name", BAD)
def test_loads_reports_all_problems(name, snapshot):
    with pytest.raises(exceptions.ConfigurationError) as caught:
        config.loads(BAD[name], "daemon.ini")

    assert "hunter2" not in str(caught.value)
    assert str(caught.value) == snapshot


def test_load_reports_a_missing_file(tmp_path):
    with pytest.raises(exceptions.ConfigurationError, match="can't be read"):
        config.load(tmp_path / "absent.ini")
