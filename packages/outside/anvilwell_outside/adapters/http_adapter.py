"""What all adapters over HTTP share."""

from anvilwell_outside.adapters import http_client


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
        """Build it from a section of the settings.

        Parameters
        ----------
        config : KeyValueSection or OutsideSection
            Its ``endpoints`` are used.
        """
        return cls(http_client.HttpClient(*config.endpoints))

    def close(self):
        """Close the idle connections."""
        self._client.close()


class BackendAdapter(HttpAdapter):
    """Calls the backend server that an agent stands beside."""

    @classmethod
    def from_config(cls, config):
        """Build it from the agent's section; ``backend`` is used."""
        return cls(http_client.HttpClient(config.backend))
