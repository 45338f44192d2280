"""What decides which requests an engine gets."""

import abc


class BaseAdmission(abc.ABC):
    """What lets requests in to the engine."""

    @abc.abstractmethod
    def reconcile(self, present):
        """Learn how many requests the engine has."""

    @abc.abstractmethod
    def close(self, closes_in_s, opens_in_s):
        """Let no request in that would last past `closes_in_s`.

        Args:
            closes_in_s: seconds until the engine is to be empty.
            opens_in_s: seconds until it is likely to serve again.
        """

    @abc.abstractmethod
    def open(self):
        """Let requests in again."""

    @abc.abstractmethod
    def set_expiry(self, expires_in_s):
        """Let no request in that would begin after `expires_in_s`.

        Args:
            expires_in_s: seconds until what the engine serves is too old;
                infinite where that is not known.
        """
