"""Base classes of the adapters that use HTTP."""

from anvilwell_outside.adapters import http_client


class HttpAdapter:
    """An adapter with HTTP connections to one outside system.

    Parameters
    ----------
    client : http_client.HttpClient
        Connections to the system.
    """

    def __init__(self, client):
        self._client = client

    @classmethod
    def from_config(cls, config):
        """Create the adapter from a section of the settings.

        Parameters
        ----------
        config : KeyValueSection or OutsideSection
            Section whose ``endpoints`` are the addresses of the system.
        """
        return cls(http_client.HttpClient(*config.endpoints))

    def close(self):
        """Close the idle connections."""
        self._client.close()


class BackendAdapter(HttpAdapter):
    """An adapter for the backend server of an agent."""

    @classmethod
    def from_config(cls, config):
        """Create the adapter from the agent's section.

        Its ``backend`` is the address of the backend server.
        """
        return cls(http_client.HttpClient(config.backend))
