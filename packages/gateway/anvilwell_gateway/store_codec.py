"""Where the platform's own entries lie in its store, as a port."""

import abc


class StoreCodec(abc.ABC):
    """Names and decodes what the platform writes into its store."""

    configuration_key = ""
    replicas_prefix = ""
    versions_prefix = ""
    retire_prefix = ""

    def read_configuration(self, value):
        """Return the `facts.Configuration` in `value`.

        Raises
        ------
        exceptions.ConfigurationError
            With all that can't be understood.
        """
        *_, configuration = self.configuration_steps(value)
        return configuration

    @abc.abstractmethod
    def configuration_steps(self, value):
        """Read a configuration step by step.

        Yields
        ------
        facts.Configuration or None
            None after each step but the last: something else may be done.

        Raises
        ------
        exceptions.ConfigurationError
            With all that can't be understood.
        """

    @abc.abstractmethod
    def read_replica(self, key, value):
        """Return the `facts.Replica` in an entry.

        Raises
        ------
        exceptions.ConfigurationError
            If it can't be understood.
        """

    @abc.abstractmethod
    def read_version(self, key, value):
        """Return the model's name and the version that was asked for.

        Raises
        ------
        exceptions.ConfigurationError
            If they can't be understood.
        """

    @abc.abstractmethod
    def retirement_entry(self, key):
        """Return key and value that say a storage VM is empty."""
