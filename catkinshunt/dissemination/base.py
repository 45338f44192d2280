"""Documents with a revision, and the ways in which they travel."""

import abc

import attrs


@attrs.frozen
class Update:
    """A way from `base_revision`, or from nothing, to `revision`.

    Args:
        topic: name of the document.
        revision: revision that it leads to.
        base_revision: revision that the edits start from.
        edits: the edits in order, each as JSON bytes.
        document: the whole document, deflated; empty where edits lead there.
        digest: SHA-256 of the document at `revision`.
    """

    topic: str
    revision: int
    base_revision: int = 0
    edits: tuple = ()
    document: bytes = b''
    digest: bytes = b''

    @property
    def size(self):
        """Bytes of edits and document."""
        return len(self.document) + sum(map(len, self.edits))


class BaseReplica(abc.ABC):
    """A process's copy of a document; its revision only rises.

    Implementations may be called from several threads.
    """

    #: Name of the document, equal in all processes.
    topic = ''

    @property
    @abc.abstractmethod
    def revision(self):
        """Revision held; 0 before any was learnt."""

    @abc.abstractmethod
    def make_update(self, after_revision):
        """Return the smaller `Update` for a process at `after_revision`."""

    @abc.abstractmethod
    def apply_update(self, update, now):
        """Take `update` if it is newer.

        Returns:
            Whether the revision rose.

        Raises:
            errors.PeerError: the update does not fit what is held.
        """


class BaseSource(abc.ABC):
    """Where a document comes from: a service of the platform."""

    #: Name of the document that it gives.
    topic = ''
    #: Seconds between calls; 0 where a call waits for what is newer.
    period_s = 0.0

    @abc.abstractmethod
    def fetch(self, wait_s):
        """Wait up to `wait_s` for a newer revision; give it to the replica.

        Raises:
            errors.CatkinshuntError: the service gave no usable answer.
        """


class BasePeerTransport(abc.ABC):
    """Calls to other processes; each returns a `concurrent.futures.Future`.

    A future ends with an `errors.PeerError` where the call failed.
    """

    @abc.abstractmethod
    def offer(self, peer, update):
        """Offer `update`; the future gives the revision the peer holds."""

    @abc.abstractmethod
    def pull(self, peer, held):
        """Ask for what is newer than `held`, a mapping of topic to revision.

        The future gives a tuple of `Update`.
        """
