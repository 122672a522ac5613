"""The interface to the platform's keys and their encoded values."""

import abc


class StoreCodec(abc.ABC):
    """Names the platform's keys, and encodes and decodes their values."""

    configuration_key = ""
    replicas_prefix = ""
    versions_prefix = ""
    retire_prefix = ""
    # Each key under this prefix ends with the name of a failure domain that is
    # to be evacuated.
    evacuations_prefix = ""

    def read_configuration(self, value):
        """Decode the `facts.Configuration` in `value`.

        Raises
        ------
        exceptions.ConfigurationError
            With all parts that can't be decoded.
        """
        *_, configuration = self.configuration_steps(value)
        return configuration

    @abc.abstractmethod
    def configuration_steps(self, value):
        """Decode a configuration step by step.

        Yields
        ------
        facts.Configuration or None
            None after each step but the last, so that the caller can do other
            work in between.

        Raises
        ------
        exceptions.ConfigurationError
            With all parts that can't be decoded.
        """

    @abc.abstractmethod
    def read_replica(self, key, value):
        """Decode the `facts.Replica` in a registration.

        Raises
        ------
        exceptions.ConfigurationError
            If it can't be decoded.
        """

    @abc.abstractmethod
    def read_version(self, key, value):
        """Decode the model's name and the version that was requested for it.

        Raises
        ------
        exceptions.ConfigurationError
            If they can't be decoded.
        """

    @abc.abstractmethod
    def retirement_entry(self, key):
        """Return the key and value that report a storage VM as empty."""
