"""Base class of the permit admission of an engine."""

import abc


class BasePermitAdmission(abc.ABC):
    """Admission of requests to an engine, as controlled by its sidecar.

    It is called by the agent and the loader of the package `transfer`.

    `PermitServer` implements it with permits.
    """

    @abc.abstractmethod
    def reconcile(self, present):
        """Correct the permits in use by the requests that the engine has.

        Args:
            present: requests at the engine, running and waiting.
        """

    @abc.abstractmethod
    def schedule_reload(self, closes_in_s, opens_in_s):
        """Admit no request that would last longer than `closes_in_s`.

        Args:
            closes_in_s: seconds until the engine is to be empty.
            opens_in_s: expected seconds until it serves again.
        """

    @abc.abstractmethod
    def end_reload(self):
        """Admit requests again, after a reload or if it was called off."""

    @abc.abstractmethod
    def set_expiry(self, expires_in_s):
        """Admit no request whose prefill would end after `expires_in_s`.

        Args:
            expires_in_s: seconds until the version that the engine serves
                expires; infinite if that is not known.
        """

    @abc.abstractmethod
    def begin_leaving(self, started_at_ms):
        """Admit no more requests, since the engine leaves.

        Args:
            started_at_ms: its start time in Unix milliseconds, 0 if unknown.
        """

    @abc.abstractmethod
    def end_leaving(self):
        """Admit requests again, if the engine left; it has started anew."""
