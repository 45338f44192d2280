"""One attempt at a request with one sidecar."""

import http.client
import json
import socket
import time
import uuid

import attrs

from catkinshunt import checks
from catkinshunt import errors
from catkinshunt import httpio
from catkinshunt.httpio import headers
from catkinshunt import logs

_STREAM_TYPE = 'application/x-ndjson'
_log = logs.get_logger('relay')


@attrs.frozen
class SidecarStatus:
    """Status of a sidecar, as sent in its response headers.

    Attributes:
        state: ``serving`` or ``leaving``; None if unknown.
        load: number of its requests; None if unknown.
        served_versions: model versions it serves as ``model/version``; None
            if unknown.
        back_off_s: seconds for which its upstream wants no requests.
    """

    state: str | None = None
    load: float | None = None
    served_versions: frozenset | None = None
    back_off_s: float = 0.0

    @classmethod
    def from_response(cls, resp):
        """Parse the headers of an `http.client.HTTPResponse`."""
        state = resp.getheader(headers.STATE)
        load = resp.getheader(headers.LOAD, '')
        served = resp.getheader(headers.SERVED)
        return cls(
            state if state in ('serving', 'leaving') else None,
            float(load) if load.isdigit() else None,
            None if served is None else _parse_served_versions(served),
            _parse_back_off_s(resp.getheader(headers.BACK_OFF_S)),
        )


@attrs.frozen
class ResumePoint:
    """Where a broken stream is resumed.

    Attributes:
        index: index of the next piece.
        version: the model version that produced the pieces before it.
    """

    index: int
    version: str


@attrs.define(eq=False)
class OpenResponse:
    """A response whose body has not been read yet."""

    address: httpio.Address
    conn: http.client.HTTPConnection
    resp: http.client.HTTPResponse
    #: Kept here since `conn` clears its own reference when the response
    #: announces that the connection closes.
    sock: socket.socket
    #: Whether the connection is back in the pool and may be in other use.
    conn_returned: bool = False

    @property
    def is_stream(self):
        """Whether the body is a stream of JSON lines."""
        return self.resp.getheader('Content-Type') == _STREAM_TYPE

    @property
    def model_version(self):
        """The model version of the response, or empty."""
        return self.resp.getheader(headers.ENGINE_MODEL_VERSION, '')

    def close(self):
        """Abort the exchange; the sidecar then cancels the request.

        A body can end properly and still lack pieces. Its connection is then
        back in the pool and may carry another request, so it is not closed.
        """
        if self.conn_returned:
            return
        self.resp.close()
        self.conn.close()


class Relay:
    """Sends requests to sidecars and relays their responses.

    Args:
        pool: `httpio.ConnectionPool`.
        deployment_key: secret that sidecars require.
        stall_timeout_s: longest wait for the next piece of a response.
        config_replica: `configuration.ConfigurationReplica`, whose revision
            is exchanged in the headers of requests and responses; or None.
    """

    def __init__(
        self, pool, deployment_key, stall_timeout_s=10.0, config_replica=None
    ):
        self.pool = pool
        self.deployment_key = deployment_key
        self.stall_timeout_s = stall_timeout_s
        self.config_replica = config_replica

    def open(self, req, route, address, now, resume=None, on_status=None):
        """Send `req` to the sidecar at `address` and wait for the headers.

        Args:
            req: the `CallerRequest`.
            route: the `rules.Route`.
            address: `httpio.Address` of the sidecar.
            now: seconds, monotonic.
            resume: a `ResumePoint`, or None to start from the beginning.
            on_status: called with the `SidecarStatus` of the response, also
                of a rejection.

        Raises:
            errors.RefusedError: not run; no connection or rejected.
            errors.RequestError: the error that the sidecar returned.
            errors.OutcomeUnknownError: sent, but no response arrived.
        """
        remaining_s = req.deadline - now
        header_timeout_s = self._header_timeout_s(req, remaining_s)
        # The sidecar may close an idle connection at any time. A request lost
        # on it may have run, and could not be retried unless idempotent.
        conn, _ = self.pool.acquire(
            address, header_timeout_s, fresh=not req.idempotent
        )
        peer = str(address)
        try:
            if conn.sock is None:
                conn.connect()
        except OSError as exc:
            raise errors.RefusedError(
                f'connection failed: {exc}', step='connect', peer=peer
            ) from exc
        exchange_id = uuid.uuid4().hex
        request_headers = self._make_headers(req, route, remaining_s, resume)
        request_headers[headers.EXCHANGE_ID] = exchange_id
        try:
            body = _make_body(req, resume)
            conn.request(
                req.method, '/upstream' + req.path, body, request_headers
            )
            sock = conn.sock
            resp = conn.getresponse()
        except (OSError, http.client.HTTPException) as exc:
            conn.close()
            raise errors.OutcomeUnknownError(
                f'no response: {exc!r}', step='exchange', peer=peer
            ) from exc
        open_resp = OpenResponse(address, conn, resp, sock)
        self._check_exchange_id(open_resp, exchange_id)
        self._check_delimited(open_resp)
        if self.config_replica is not None:
            self.config_replica.observe_revision(
                resp.getheader(headers.REVISION), now
            )
        if on_status is not None:
            on_status(SidecarStatus.from_response(resp))
        self._check_error(open_resp)
        sock.settimeout(min(remaining_s, self.stall_timeout_s))
        return open_resp

    def read(self, open_resp):
        """Yield the pieces of the body; raise if it is incomplete.

        Raises:
            errors.IncompleteAnswerError: the body is truncated.
        """
        resp = open_resp.resp
        try:
            yield from httpio.iter_body(resp, open_resp.sock)
        except httpio.READ_ERRORS as exc:
            open_resp.close()
            raise _incomplete(open_resp, repr(exc)) from exc
        if resp.length:
            open_resp.close()
            raise _incomplete(open_resp, 'body ended early')
        # http.client does not notice that `read1` returned the last byte of a
        # body with a length, and would reject the next request.
        resp.close()
        open_resp.conn_returned = True
        self.pool.release(open_resp.address, open_resp.conn)

    def read_all(self, open_resp):
        """Return the complete body.

        Raises:
            errors.IncompleteAnswerError: the body is truncated.
        """
        return b''.join(self.read(open_resp))

    def _header_timeout_s(self, req, remaining_s):
        """Return the timeout for the response headers.

        A frozen process accepts connections but sends nothing. A wait until
        the deadline would leave no time for a retry. An engine sends its
        headers long before the end of the response.
        """
        if not req.model:
            return remaining_s
        return max(remaining_s / 2, min(remaining_s, self.stall_timeout_s))

    def _make_headers(self, req, route, remaining_s, resume):
        version = resume.version if resume else route.version or ''
        optional = {}
        if not req.idempotent:
            not_after = time.time() + remaining_s
            optional[headers.ATTEMPT_ID] = uuid.uuid4().hex[:16]
            optional[headers.NOT_AFTER] = f'{not_after:.3f}'
        if self.config_replica is not None:
            optional[headers.REVISION] = str(self.config_replica.revision)
        return optional | {
            'Content-Type': req.content_type,
            headers.ACCOUNT: req.account,
            headers.DEADLINE_MS: str(int(remaining_s * 1000)),
            headers.DEPLOYMENT_KEY: self.deployment_key,
            headers.MODEL: headers.encode_text(req.model),
            headers.MODEL_VERSION: headers.encode_text(version),
            headers.PRIORITY: str(route.priority),
            headers.REQUEST_ID: req.request_id,
            headers.WEIGHT: str(route.account_weight),
        }

    def _check_exchange_id(self, open_resp, exchange_id):
        """Reject a response that belongs to another exchange.

        A late or crossed response would reach the wrong caller, and so would
        each later response on the connection.
        """
        echoed = open_resp.resp.getheader(headers.EXCHANGE_ID)
        if echoed == exchange_id:
            return
        open_resp.close()
        raise errors.OutcomeUnknownError(
            f'response belongs to another exchange: {echoed!r}',
            step='exchange',
            peer=str(open_resp.address),
        )

    def _check_delimited(self, open_resp):
        """Reject a response that could be cut off unseen.

        Sidecars state a length or send chunks.
        """
        if open_resp.resp.is_delimited:
            return
        open_resp.close()
        raise errors.OutcomeUnknownError(
            'response without a length',
            step='exchange',
            peer=str(open_resp.address),
        )

    def _check_error(self, open_resp):
        """Raise an error of the sidecar; upstream errors are relayed."""
        if open_resp.resp.getheader(headers.ERROR) is None:
            return
        try:
            body = self.read_all(open_resp)
        except errors.IncompleteAnswerError as exc:
            raise errors.OutcomeUnknownError(
                exc.message, step='exchange', peer=exc.peer
            ) from exc
        raise httpio.read_error(body, str(open_resp.address))


def _parse_served_versions(value):
    """Return the model versions in the header of a sidecar."""
    names = map(headers.decode_text, value.split(','))
    return frozenset(names) - {''}


def _make_body(req, resume):
    if resume is None:
        return req.body
    return json.dumps(
        json.loads(req.body) | {'resume_from': resume.index}
    ).encode()


def _incomplete(open_resp, reason):
    return errors.IncompleteAnswerError(
        f'incomplete response: {reason}',
        step='relay',
        peer=str(open_resp.address),
    )


def _parse_back_off_s(text):
    try:
        return checks.parse_back_off_s(text or '0')
    except ValueError as exc:
        _log.warning('Ignored the back-off of an upstream: {}.', exc)
        return 0.0
