"""Logs the start and the end of an outage once each."""


class OutageLogger:
    """Logs the loss of a dependency once, and its recovery once.

    Many calls fail in an outage; a line for each would hide the rest of the
    log.

    Args:
        log: logger of the dependent component.
        lost_text: message for the loss, with a placeholder for the error.
        recovered_text: message for the recovery.
    """

    def __init__(self, log, lost_text, recovered_text):
        self.log = log
        self.lost_text = lost_text
        self.recovered_text = recovered_text
        self._is_ongoing = False

    def begin(self, exc):
        """Record that a call failed with `exc`."""
        if not self._is_ongoing:
            self._is_ongoing = True
            self.log.warning(self.lost_text, exc)

    def end(self, **fields):
        """Record a successful call; `fields` are added to the line."""
        if self._is_ongoing:
            self._is_ongoing = False
            self.log.info(self.recovered_text, **fields)
