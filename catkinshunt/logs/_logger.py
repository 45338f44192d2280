"""Loggers bound to the prefix of one part of the system."""

import loguru


def get_logger(prefix):
    """Return a logger whose lines carry `prefix`.

    Args:
        prefix: the part that speaks, such as ``'routing'``.
    """
    return loguru.logger.bind(prefix=prefix)


def request(request_id):
    """Return a context in which all lines of this thread name a request.

    Args:
        request_id: the id that the request has in all processes.
    """
    return loguru.logger.contextualize(request_id=request_id)
