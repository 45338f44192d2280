"""The sender's side: how much one instance uploads, and to how many."""

import threading

from catkinshunt import base


class UploadGate(base.ParamsMixin):
    """Admits uploads of one version up to a number and a budget.

    Without the budget the instances that hold chunks first would send many
    copies each and fill their links, at the cost of live requests there,
    while others send nothing.

    Args:
        size_bytes: length of one copy of the version.
        budget_copies: copies sent at most; None for no bound.
        max_uploads: uploads at a time.

    Examples:
        >>> gate = UploadGate(100, budget_copies=1, max_uploads=2)
        >>> gate.begin(60), gate.begin(60)
        (True, False)
        >>> gate.uploaded_copies
        0.6
    """

    def __init__(self, size_bytes, budget_copies=1.05, max_uploads=4):
        self.size_bytes = size_bytes
        self.budget_copies = budget_copies
        self.max_uploads = max_uploads
        self._lock = threading.Lock()
        self._uploads = 0
        self._uploaded_bytes = 0

    @property
    def uploaded_copies(self):
        """Copies sent or promised so far."""
        return self._uploaded_bytes / self.size_bytes

    @property
    def uploaded_bytes(self):
        """Bytes sent or promised so far."""
        return self._uploaded_bytes

    def begin(self, chunk_bytes):
        """Take a place for an upload; returns False if there is none."""
        with self._lock:
            if self._uploads >= self.max_uploads:
                return False
            if self._exceeds(chunk_bytes):
                return False
            self._uploads += 1
            self._uploaded_bytes += chunk_bytes
            return True

    def end(self, unsent_bytes=0):
        """Give the place back, and the bytes that were not sent."""
        with self._lock:
            self._uploads -= 1
            self._uploaded_bytes -= unsent_bytes

    def _exceeds(self, chunk_bytes):
        if self.budget_copies is None:
            return False
        bound = self.budget_copies * self.size_bytes
        return self._uploaded_bytes + chunk_bytes > bound
