"""HTTP endpoint from which an engine pulls weights."""

import secrets

from catkinshunt import base
from catkinshunt import errors
from catkinshunt import httpio

PREFIX = '/weights/'
_TOKEN_BYTES = 16


class WeightsEndpoint(base.ParamsMixin):
    """Serves the weights of the version that is placed here.

    Some engines ignore fencing numbers. An order of an earlier process that
    is delayed in the network would make such an engine load, and reply with,
    a version that no rule places. Therefore the URL in an order contains a
    token that is generated at process start. Only pulls with the token of
    this process for the placed version succeed, so an engine gets no weights
    for an older order.

    Args:
        host: address on which this process listens.
        port: port on which this process listens. It also serves as a lock: a
            paused process keeps it bound, and no other can bind it.
        get_transfer: function of model and version that returns the
            transfer, or None if the version is not placed here.
    """

    def __init__(self, host, port, get_transfer):
        self.host = host
        self.port = port
        self.get_transfer = get_transfer
        self._token = secrets.token_hex(_TOKEN_BYTES)

    def make_url(self, model, version):
        """Return the weights URL for an order of this version."""
        path = f'{PREFIX}{self._token}/{model}/{version}'
        return f'http://{self.host}:{self.port}{path}'

    def handle(self, path):
        """Return the `httpio.Response` to a pull by the engine.

        Raises:
            InvalidRequestError: the token is invalid, or the version is not
                placed here or not complete.
        """
        parts = path.removeprefix(PREFIX).split('/')
        if len(parts) != 3 or not secrets.compare_digest(
            parts[0].encode(), self._token.encode()
        ):
            raise errors.InvalidRequestError('unknown weights', step='pull')
        transfer = self.get_transfer(*parts[1:])
        if transfer is None or not transfer.store.is_complete:
            raise errors.InvalidRequestError('unknown weights', step='pull')
        length = ('Content-Length', str(transfer.manifest.size_bytes))
        return httpio.Response(200, transfer.store.iter_chunks(), (length,))
