"""Settings of a sidecar."""

import attrs

from catkinshunt import httpio
from catkinshunt.settings import _fields
from catkinshunt.settings import _sections


@attrs.frozen(kw_only=True)
class SidecarSettings(_sections.ProcessSettings):
    """Settings of a sidecar, the process beside one upstream.

    Attributes:
        service: the service that the upstream belongs to.
        upstream_address: the upstream beside the process.
        origin_address: where whole new weights come from.
        weight_store_address: the rate-limited store of weights.
        model_engine: the upstream is a model engine and takes orders.
        link_bytes_per_s: rate of the instance's link, both directions
            together; None if it is not known.
        concurrency: requests that the upstream works on at a time.
        queue: requests that may wait.
        threads: requests held at a time, running and waiting.
    """

    service: str = _fields.text()
    upstream_address: httpio.Address = _fields.address()
    origin_address: httpio.Address | None = _fields.address(None)
    weight_store_address: httpio.Address | None = _fields.address(None)
    model_engine: bool = False
    link_bytes_per_s: float | None = _fields.above_zero('bytes/s', None)
    concurrency: int = _fields.count(1, 10_000, default=8)
    queue: int = _fields.count(0, 100_000, default=64)
    threads: int = _fields.count(1, 10_000, default=64)

    def check(self):
        """Yield (field, given, allowed) for fields that do not fit."""
        yield from super().check()
        if self.model_engine and self.origin_address is None:
            allowed = "'host:port', since model_engine is true"
            yield 'origin_address', 'nothing', allowed
