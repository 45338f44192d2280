"""Forwards log records of libraries to the configured format."""

import logging

import loguru

#: waitress logs a warning for every request that waits for a thread. In a
#: burst this is every request, and the sidecar already reports its queue.
_SILENCED_LOGGERS = ('waitress.queue',)


class _Bridge(logging.Handler):
    """Forwards records of the standard library to loguru."""

    def emit(self, record):
        """Write `record` with the name of the library as prefix."""
        library = record.name.partition('.')[0]
        log = loguru.logger.bind(prefix=library).opt(exception=record.exc_info)
        log.log(record.levelname, '{}', record.getMessage())


def bridge_libraries():
    """Forward records that libraries write through `logging`.

    Without this they are written to standard error in another format, and
    keys are not redacted.
    """
    root = logging.getLogger()
    root.handlers = [_Bridge()]
    root.setLevel(logging.WARNING)
    for name in _SILENCED_LOGGERS:
        logging.getLogger(name).setLevel(logging.ERROR)
