"""Settings of an entry."""

import attrs

from catkinshunt.settings import _fields
from catkinshunt.settings import _sections


@attrs.frozen
class EntrySettings(_sections.ProcessSettings):
    """Settings of an entry, which takes callers' requests.

    Attributes:
        threads: requests served at a time.
        default_timeout_s: deadline of a request that names none.
    """

    threads: int = _fields.count(1, 10_000, default=64)
    default_timeout_s: float = _fields.above_zero('seconds', 30.0)
