"""Loggers bound to the prefix of one part of the system."""

import loguru


def get_logger(prefix):
    """Return a logger whose lines carry `prefix`.

    Args:
        prefix: the part that speaks, such as ``'routing'``.
    """
    return loguru.logger.bind(prefix=prefix)
