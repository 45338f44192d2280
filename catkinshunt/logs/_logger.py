"""Loggers with the prefix of one component."""

import loguru


def get_logger(prefix):
    """Return a logger whose lines carry `prefix`.

    Args:
        prefix: name of the component, such as ``'routing'``.
    """
    return loguru.logger.bind(prefix=prefix)


def request(request_id):
    """Return a context that adds the request id to lines of this thread.

    Args:
        request_id: id of the request, the same in all processes.
    """
    return loguru.logger.contextualize(request_id=request_id)
