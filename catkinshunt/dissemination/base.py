"""Base classes of replicated documents, their sources and transport."""

import abc

import attrs


@attrs.frozen
class Update:
    """A delta from `base_revision` to `revision`, or the whole document.

    Args:
        topic: name of the document.
        revision: resulting revision.
        base_revision: revision to which the edits apply.
        edits: the edits in order, each as JSON bytes.
        document: the whole document, deflated; empty if there are edits.
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
        """Total bytes of edits and document."""
        return len(self.document) + sum(map(len, self.edits))


class BaseReplica(abc.ABC):
    """A replica of a document in one process; its revision only increases.

    Implementations are thread-safe.
    """

    #: Name of the document, the same in all processes.
    topic = ''

    @property
    @abc.abstractmethod
    def revision(self):
        """Current revision; 0 before the first."""

    @abc.abstractmethod
    def make_update(self, after_revision):
        """Return the smallest `Update` for a process at `after_revision`."""

    @abc.abstractmethod
    def apply_update(self, update, now):
        """Apply `update` if it is newer.

        Returns:
            Whether it was applied.

        Raises:
            errors.PeerError: the update does not apply to the replica.
        """


class BaseSource(abc.ABC):
    """A service of the platform from which a document is fetched."""

    #: Name of the document.
    topic = ''
    #: Seconds between fetches; 0 if a fetch waits for a newer revision.
    period_s = 0.0

    @abc.abstractmethod
    def fetch(self, wait_s):
        """Wait up to `wait_s` for a newer revision; update the replica.

        Raises:
            errors.CatkinshuntError: there was no valid reply.
        """


class BasePeerTransport(abc.ABC):
    """RPC to peers; each method returns a `concurrent.futures.Future`.

    A failed call sets an `errors.PeerError`.
    """

    @abc.abstractmethod
    def offer(self, peer, update):
        """Offer `update`; the future yields the revision of the peer."""

    @abc.abstractmethod
    def pull(self, peer, revisions):
        """Request updates for `revisions`, a mapping of topic to revision.

        The future yields a tuple of `Update`.
        """
