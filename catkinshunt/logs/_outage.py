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

    def __init__(self, log, lost_text, recovered_text):
        self.log = log
        self.lost_text = lost_text
        self.recovered_text = recovered_text
        self._is_ongoing = False

    def begin(self, exc):
        """Note that a call failed with `exc`."""
        if not self._is_ongoing:
            self._is_ongoing = True
            self.log.warning(self.lost_text, exc)

    def end(self, **fields):
        """Note that a call went well; `fields` are added to the line."""
        if self._is_ongoing:
            self._is_ongoing = False
            self.log.info(self.recovered_text, **fields)
