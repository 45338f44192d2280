"""One try of a request at one sidecar."""

import http.client
import json
import time
import uuid

import attrs

from catkinshunt import errors
from catkinshunt import httpio
from catkinshunt.httpio import headers

_PIECE_BYTES = 64 * 1024
_STREAM = 'application/x-ndjson'
_DONE = b'{"done": true'


@attrs.frozen
class Opened:
    """A reply whose body is still to be read."""

    address: httpio.Address
    conn: http.client.HTTPConnection
    resp: http.client.HTTPResponse


class Relay:
    """Sends requests to sidecars and passes their answers on.

    Args:
        pool: `httpio.ConnectionPool`.
        deployment_key: secret that sidecars ask for.
    """

    def __init__(self, pool, deployment_key):
        self.pool = pool
        self.deployment_key = deployment_key

    def open(self, req, route, address, now):
        """Send `req` to the sidecar at `address`; wait for its reply's head.

        Raises:
            errors.RefusedError: not run; no connection, or refused there.
            errors.OutcomeUnknownError: sent, and no reply came.
        """
        left_s = req.deadline - now
        conn, _ = self.pool.take(address, left_s)
        peer = str(address)
        try:
            if conn.sock is None:
                conn.connect()
        except OSError as exc:
            raise errors.RefusedError(
                f'no connection: {exc}', step='connect', peer=peer
            ) from exc
        try:
            conn.request(
                req.method,
                '/upstream' + req.path,
                req.body,
                self._headers(req, route, left_s),
            )
            resp = conn.getresponse()
        except (OSError, http.client.HTTPException) as exc:
            conn.close()
            raise errors.OutcomeUnknownError(
                f'no reply: {exc!r}', step='exchange', peer=peer
            ) from exc
        opened = Opened(address, conn, resp)
        self._check_refusal(opened)
        return opened

    def read(self, opened):
        """Yield the body's pieces; raise unless it came to its end.

        Raises:
            errors.IncompleteAnswerError: the body broke off.
        """
        streamed = opened.resp.getheader('Content-Type') == _STREAM
        tail = b''
        try:
            while piece := opened.resp.read1(_PIECE_BYTES):
                tail = (tail + piece)[-_PIECE_BYTES:]
                yield piece
        except (OSError, http.client.HTTPException) as exc:
            opened.conn.close()
            raise _incomplete(opened, repr(exc)) from exc
        if opened.resp.length or (streamed and not _ends_done(tail)):
            opened.conn.close()
            raise _incomplete(opened, 'ended early')
        # `read1` leaves a reply open whose length it has come to, and the
        # connection then refuses to read the next request's reply.
        opened.resp.close()
        self.pool.give_back(opened.address, opened.conn)

    def _headers(self, req, route, left_s):
        once = {}
        if not req.idempotent:
            not_after = time.time() + left_s
            once[headers.ATTEMPT_ID] = uuid.uuid4().hex[:16]
            once[headers.NOT_AFTER] = f'{not_after:.3f}'
        return once | {
            'Content-Type': req.content_type,
            headers.ACCOUNT: req.account,
            headers.DEADLINE_MS: str(int(left_s * 1000)),
            headers.DEPLOYMENT_KEY: self.deployment_key,
            headers.MODEL: req.model,
            headers.MODEL_VERSION: route.version or '',
            headers.REQUEST_ID: req.request_id,
        }

    def _check_refusal(self, opened):
        resp = opened.resp
        if resp.status < 400:
            return
        if resp.getheader(headers.STATE) is None:
            return
        body = resp.read()
        self.pool.give_back(opened.address, opened.conn)
        error = json.loads(body)['error']
        kind = errors.OutcomeUnknownError
        if error['ran'] == 'no':
            kind = errors.RefusedError
        raise kind(
            error['message'],
            step=error['step'],
            peer=str(opened.address),
            retry_after_s=error['retry_after_s'],
        )


def _ends_done(tail):
    last = tail.rstrip(b'\n').rpartition(b'\n')[2]
    return last.startswith(_DONE)


def _incomplete(opened, reason):
    return errors.IncompleteAnswerError(
        f'answer broke off: {reason}', step='relay', peer=str(opened.address)
    )
