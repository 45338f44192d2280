"""Limits the uploads of one instance."""

import threading

from catkinshunt import base


class UploadLimiter(base.ParamsMixin):
    """Limits the concurrent uploads and the bytes sent of one version.

    Without the byte budget, the instances that have chunks first would send
    many copies each and fill their links, delaying live requests there, while
    others send nothing. Once this instance is complete, the bytes counted
    against its budget decay, so that instances which restart later still find
    peers that may send.

    Args:
        size_bytes: length of one copy of the version.
        budget_copies: maximum number of copies sent; None for no limit.
        max_uploads: maximum number of concurrent uploads.
        budget_decay_s: seconds in which one copy sent is removed from the
            count after `start_budget_decay`.

    Examples:
        >>> limiter = UploadLimiter(100, budget_copies=1, max_uploads=2)
        >>> limiter.begin(60, now=0.0), limiter.begin(60, now=0.0)
        (True, False)
        >>> limiter.uploaded_copies(now=0.0)
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
        self._budgeted_bytes = 0.0
        self._decayed_at = None

    def uploaded_copies(self, now):
        """Return the copies sent or started, minus the decayed part."""
        with self._lock:
            self._decay(now)
            return self._budgeted_bytes / self.size_bytes

    def begin(self, chunk_bytes, now):
        """Reserve an upload of `chunk_bytes`; return whether it is allowed."""
        with self._lock:
            self._decay(now)
            if self._uploads >= self.max_uploads:
                return False
            if self._exceeds_budget(chunk_bytes):
                return False
            self._uploads += 1
            self._budgeted_bytes += chunk_bytes
            self.sent_bytes += chunk_bytes
            return True

    def start_budget_decay(self, now):
        """Start to reduce the count of bytes sent."""
        with self._lock:
            if self._decayed_at is None:
                self._decayed_at = now

    def end(self, unsent_bytes=0):
        """Release an upload, and the reservation of its unsent bytes."""
        with self._lock:
            self._uploads -= 1
            self._budgeted_bytes -= unsent_bytes
            self.sent_bytes -= unsent_bytes

    def _exceeds_budget(self, chunk_bytes):
        if self.budget_copies is None:
            return False
        bound = self.budget_copies * self.size_bytes
        return self._budgeted_bytes + chunk_bytes > bound

    def _decay(self, now):
        since = self._decayed_at
        if since is None:
            return
        self._decayed_at = now
        decayed_bytes = (now - since) / self.budget_decay_s * self.size_bytes
        self._budgeted_bytes = max(0.0, self._budgeted_bytes - decayed_bytes)
