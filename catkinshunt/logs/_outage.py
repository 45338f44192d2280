"""Tells of a lost dependency once, and once that it is back."""


class OutageLogger:
    """Writes one line when something is lost and one when it is back.

    Calls fail by the dozen in an outage; a line for each would hide the
    rest of the log.

    Args:
        log: logger of the part that depends on it.
        lost: text of the line on the loss, with a place for the error.
        back: text of the line on the return.
    """

    def __init__(self, log, lost, back):
        self.log = log
        self.lost = lost
        self.back = back
        self._lasts = False

    def begin(self, exc):
        """Note that a call failed with `exc`."""
        if not self._lasts:
            self._lasts = True
            self.log.warning(self.lost, exc)

    def end(self, **fields):
        """Note that a call went well; `fields` are added to the line."""
        if self._lasts:
            self._lasts = False
            self.log.info(self.back, **fields)
