"""The platform's list as the source of the directory."""

import time

from catkinshunt import base as shared
from catkinshunt.dissemination import base
from catkinshunt import errors
from catkinshunt import httpio
from catkinshunt.instances import _listing

TIMEOUT_S = 2.0
_UNCHANGED = 304


class ListSource(shared.ParamsMixin, base.BaseSource):
    """Reads the list where it is newer than the directory.

    Args:
        address: `httpio.Address` of the platform's list.
        directory: the process's `Directory`.
        period_s: seconds between reads while on duty.
    """

    topic = _listing.TOPIC

    def __init__(self, address, directory, period_s=1.0):
        self.address = address
        self.directory = directory
        self.period_s = period_s

    def fetch(self, wait_s):
        """See `base.BaseSource.fetch`; the list itself never waits."""
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
                f'status {reply.status}',
                step='read-list',
                peer=str(self.address),
            )
        listing = _listing.read_listing(reply.body)
        self.directory.offer(listing, time.monotonic())
