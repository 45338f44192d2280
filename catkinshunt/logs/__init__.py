"""Log lines: short sentences with a fixed prefix for each part."""

from catkinshunt.logs._logger import get_logger

__all__ = ['get_logger']
