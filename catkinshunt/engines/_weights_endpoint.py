"""Which pulls of weights an engine is given."""

import secrets

from catkinshunt import base
from catkinshunt import errors
from catkinshunt import httpio

PREFIX = '/weights/'
_TOKEN_BYTES = 16


class WeightsEndpoint(base.ParamsMixin):
    """Gives the engine beside it the whole weights of one version.

    Some engines ignore fencing numbers. An order of an earlier process in
    this slot, delayed in the network, would make such an engine load an old
    version; one notices by answers of a version that no rule places. Each
    order names a URL with a token made at the start of the process. This
    process knows only its own token and the version wanted now, so the
    engine finds no weights behind an older order.

    Args:
        host: address on which this process listens.
        port: port on which this process listens. Binding it holds the slot:
            a paused process keeps it, and two cannot share it.
        get_transfer: function of model and version that returns the
            transfer, or None if the version is not wanted now.
    """

    def __init__(self, host, port, get_transfer):
        self.host = host
        self.port = port
        self.get_transfer = get_transfer
        self._token = secrets.token_hex(_TOKEN_BYTES)

    def make_url(self, model, version):
        """Return the URL that an order for this version names."""
        path = f'{PREFIX}{self._token}/{model}/{version}'
        return f'http://{self.host}:{self.port}{path}'

    def handle(self, path):
        """Return the `httpio.Response` to a pull of the engine.

        Raises:
            InvalidRequestError: the token is not of this process, or the
                version is not wanted now or not whole.
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
