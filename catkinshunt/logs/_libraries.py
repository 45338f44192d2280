"""Log lines of libraries, brought into the form of our own."""

import logging

import loguru

#: waitress warns of every request that waits for a thread; under a burst
#: that is each one, and the sidecar's own queue says it already.
_SILENCED_LOGGERS = ('waitress.queue',)


class _Bridge(logging.Handler):
    """Passes the standard library's records on to loguru."""

    def emit(self, record):
        """Write `record` with the library's name as its prefix."""
        library = record.name.partition('.')[0]
        log = loguru.logger.bind(prefix=library).opt(exception=record.exc_info)
        log.log(record.levelname, '{}', record.getMessage())


def bridge_libraries():
    """Take over the lines that libraries write through `logging`.

    Without it they reach standard error in another form, and without the
    replacement of keys.
    """
    root = logging.getLogger()
    root.handlers = [_Bridge()]
    root.setLevel(logging.WARNING)
    for name in _SILENCED_LOGGERS:
        logging.getLogger(name).setLevel(logging.ERROR)
