"""The sender's side: how much one instance uploads, and to how many."""

import threading

from catkinshunt import base


class UploadLimiter(base.ParamsMixin):
    """Admits uploads of one version up to a number and a budget.

    Without the budget the instances that hold chunks first would send many
    copies each and fill their links, at the cost of live requests there,
    while others send nothing. Once this instance is whole, what it sent is
    forgotten slowly, so that instances which restart later still find peers
    that may send.

    Args:
        size_bytes: length of one copy of the version.
        budget_copies: copies sent at most; None for no bound.
        max_uploads: uploads at a time.
        budget_decay_s: seconds in which one copy sent is forgotten after
            `start_budget_decay`.

    Examples:
        >>> upload_limiter = UploadLimiter(100, budget_copies=1, max_uploads=2)
        >>> upload_limiter.begin(60, now=0.0), upload_limiter.begin(60, now=0.0)
        (True, False)
        >>> upload_limiter.uploaded_copies(now=0.0)
        0.6
    """

    def __init__(
        self,
        size_bytes,
        budget_copies=1.04,
        max_uploads=8,
        budget_decay_s=60.0,
    ):
        self.size_bytes = size_bytes
        self.budget_copies = budget_copies
        self.max_uploads = max_uploads
        self.budget_decay_s = budget_decay_s
        self.sent_bytes = 0
        self._lock = threading.Lock()
        self._uploads = 0
        self._counted_bytes = 0.0
        self._counted_at = None

    def uploaded_copies(self, now):
        """Copies sent or promised, less what is forgotten."""
        with self._lock:
            self._forget(now)
            return self._counted_bytes / self.size_bytes

    def begin(self, chunk_bytes, now):
        """Take a place for an upload; returns False if there is none."""
        with self._lock:
            self._forget(now)
            if self._uploads >= self.max_uploads:
                return False
            if self._exceeds(chunk_bytes):
                return False
            self._uploads += 1
            self._counted_bytes += chunk_bytes
            self.sent_bytes += chunk_bytes
            return True

    def start_budget_decay(self, now):
        """Begin to forget what was sent."""
        with self._lock:
            if self._counted_at is None:
                self._counted_at = now

    def end(self, unsent_bytes=0):
        """Give the place back, and the bytes that were not sent."""
        with self._lock:
            self._uploads -= 1
            self._counted_bytes -= unsent_bytes
            self.sent_bytes -= unsent_bytes

    def _exceeds(self, chunk_bytes):
        if self.budget_copies is None:
            return False
        bound = self.budget_copies * self.size_bytes
        return self._counted_bytes + chunk_bytes > bound

    def _forget(self, now):
        since = self._counted_at
        if since is None:
            return
        self._counted_at = now
        forgotten = (now - since) / self.budget_decay_s * self.size_bytes
        self._counted_bytes = max(0.0, self._counted_bytes - forgotten)
