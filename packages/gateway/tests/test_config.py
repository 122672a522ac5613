"""Test the checks of a gateway process's settings."""

from anvilwell_gateway import config
from anvilwell_kernel import exceptions
import pytest

SETTINGS = """
[daemon]
vm_id = edge-1
failure_domain = north-a
[keyvalue]
endpoint = 127.0.0.1:1
[metrics]
listen = 127.0.0.1:2
"""


def _load(tmp_path, more):
    path = tmp_path / "settings.ini"
    path.write_text(SETTINGS + more)
    return config.load(path, "storage")


def test_regions_and_limits_are_read(tmp_path):
    """Guard against limits that are in the settings but not applied."""
    settings = _load(
        tmp_path,
        "[regions]\nnorth-a = north\nsouth-a = south\n"
        "[cold_replicas]\nrate_factor = 1.5\nextra_requests = 5\n"
        "[evacuation]\nlimit_s = 5000e-3\n",
    )

    assert settings.regions == {"north-a": "north", "south-a": "south"}
    assert settings.cold_replicas == config.ColdReplicasSection(1.5, 5)
    assert settings.evacuation.limit_s == 5.0


def test_the_parts_are_off_without_settings(tmp_path):
    """Guard against limits at deployments that do not ask for them."""
    settings = _load(tmp_path, "")

    assert settings.evacuation is None
    assert settings.regions is None


def test_a_failure_domain_without_a_region_is_named(tmp_path):
    """Guard against a VM that does not know its own region."""
    with pytest.raises(exceptions.ConfigurationError) as raised:
        _load(tmp_path, "[regions]\nsouth-a = south\n")

    assert "north-a" in str(raised.value)
