"""The instance list of the platform as a dissemination source."""

import time

from catkinshunt import base as shared
from catkinshunt.dissemination import base
from catkinshunt import errors
from catkinshunt import httpio
from catkinshunt.instances import _listing

TIMEOUT_S = 2.0
_UNCHANGED = 304


class ListSource(shared.ParamsMixin, base.BaseSource):
    """Fetches the list if it is newer than the directory.

    Args:
        address: `httpio.Address` of the instance list service.
        directory: the `Directory` of the process.
        period_s: seconds between fetches while elected as watcher.
    """

    topic = _listing.TOPIC

    def __init__(self, address, directory, period_s=1.0):
        self.address = address
        self.directory = directory
        self.period_s = period_s

    def fetch(self, wait_s):
        """See `base.BaseSource.fetch`; replies immediately."""
        try:
            reply = httpio.exchange(
                self.address,
                'GET',
                f'/instances?revision={self.directory.revision}',
                timeout_s=TIMEOUT_S,
            )
        except errors.RequestError as exc:
            raise errors.PeerUnavailableError(
                exc.message, step='read-list', peer=str(self.address)
            ) from exc
        if reply.status == _UNCHANGED:
            return
        if reply.status != 200:
            raise errors.PeerError(
                f'unexpected status {reply.status}',
                step='read-list',
                peer=str(self.address),
            )
        listing = _listing.read_listing(reply.body)
        self.directory.offer(listing, time.monotonic())
