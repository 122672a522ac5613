"""What all adapters over HTTP share."""

from anvilwell_platform.adapters import http_client


class HttpAdapter:
    """Holds the connections to one outside system.

    Parameters
    ----------
    client : http_client.HttpClient
        Connections to the system.
    """

    def __init__(self, client):
        self._client = client

    @classmethod
    def from_config(cls, config):
        """Build it from the settings' section; needs ``address``."""
        return cls(http_client.HttpClient(config.address))

    def close(self):
        """Close the idle connections."""
        self._client.close()
