"""Forwards admitted requests to the upstream and relays its responses."""

import http.client
import json
import time
import uuid

import attrs

from catkinshunt import base
from catkinshunt import errors
from catkinshunt import httpio
from catkinshunt.httpio import headers
from catkinshunt import limits
from catkinshunt import logs

_MAX_BUFFERED_BYTES = 1024 * 1024
_GENERATE_PATH = '/generate'
#: Longest wait for the headers or the next piece of an engine.
_STALL_TIMEOUT_S = 10.0
_CANCEL_TIMEOUT_S = 2.0
RETRY_AFTER_S = 1.0
_log = logs.get_logger('forward')


class Forwarder(base.ParamsMixin):
    """Forwards requests to the upstream through admission control.

    Args:
        cfg: `settings.SidecarSettings`.
        admission: a `limits.Admission`.
        status: `httpio.UpstreamStatus` of the upstream, or None.
    """

    def __init__(self, cfg, admission, status=None):
        self.cfg = cfg
        self.admission = admission
        self.status = status or httpio.UpstreamStatus()
        self._upstream = httpio.Address.parse(cfg.upstream)
        self._pool = httpio.ConnectionPool()

    def forward(self, req):
        """Return the `httpio.Response` of the upstream.

        Raises:
            errors.RequestError: the upstream gave no response.
        """
        self._check_back_off()
        ticket = limits.Ticket(
            req.request_id, req.account, req.deadline, req.weight
        )
        self.admission.offer(ticket, time.monotonic())
        self.admission.wait(ticket, time.monotonic())
        exchange = _Exchange(self, req)
        try:
            if req.is_disconnected():
                # Nobody would receive the response.
                raise errors.RefusedError('caller disconnected', step='admit')
            # The request may have been queued meanwhile.
            self._check_back_off()
            resp = exchange.open()
        except BaseException:
            self.admission.finish(ticket, time.monotonic())
            raise
        if isinstance(resp.body, list):
            self.admission.finish(ticket, time.monotonic())
            return resp
        return attrs.evolve(resp, body=self._finish_after(resp.body, ticket))

    def _check_back_off(self):
        self.status.check_back_off(
            time.monotonic(), 'admit', self.cfg.upstream
        )

    def _finish_after(self, body, ticket):
        """Yield `body`, then release the slot of the request."""
        try:
            yield from body
        finally:
            self.admission.finish(ticket, time.monotonic())

    def connect(self, timeout_s):
        """Return a new connection to the upstream.

        Responses of an upstream do not name their request. On a connection
        that carried an earlier one, a late second response to that could not
        be told from the awaited one.

        Args:
            timeout_s: timeout of each socket operation.

        Raises:
            errors.RefusedError: connection failed; the request did not run.
        """
        conn, _ = self._pool.acquire(self._upstream, timeout_s, fresh=True)
        try:
            conn.connect()
        except OSError as exc:
            raise errors.RefusedError(
                f'connection failed: {exc}',
                step='connect',
                peer=str(self._upstream),
                retry_after_s=RETRY_AFTER_S,
            ) from exc
        return conn

    def cancel(self, engine_request_id):
        """Cancel a request at the engine."""
        body = json.dumps({'request_id': engine_request_id}).encode()
        try:
            httpio.exchange(
                self._upstream,
                'POST',
                '/cancel',
                body,
                timeout_s=_CANCEL_TIMEOUT_S,
            )
        except errors.RequestError as exc:
            _log.info('Cancelling at the engine failed: {}.', exc)


class _Exchange:
    """One request to the upstream."""

    def __init__(self, forwarder, req):
        self.forwarder = forwarder
        self.req = req
        cfg = forwarder.cfg
        self._is_generate = cfg.is_engine and req.path == _GENERATE_PATH
        self._peer = cfg.upstream
        # Unique per attempt: cancelling one attempt must not cancel another
        # attempt at the same request.
        self._engine_request_id = uuid.uuid4().hex

    def open(self):
        """Send the request; return the response with its body unread."""
        conn, sock, resp = self._send()
        self.forwarder.status.observe(
            resp.status, resp.getheader, time.monotonic()
        )
        self._check_version(conn, resp)
        return self._respond(conn, sock, resp)

    def _send(self):
        header_timeout_s = max(0.001, self.req.deadline - time.monotonic())
        if self._is_generate:
            # A frozen engine would occupy the slot until the deadline.
            header_timeout_s = min(header_timeout_s, _STALL_TIMEOUT_S)
        conn = self.forwarder.connect(header_timeout_s)
        self._check_deadline(conn)
        try:
            conn.request(
                self.req.method,
                self.req.path,
                self._make_body(),
                {'Content-Type': self.req.content_type},
            )
            # The connection clears its own reference when the response
            # announces that it closes.
            sock = conn.sock
            return conn, sock, conn.getresponse()
        except ConnectionError as exc:
            # The engine drops a request whose connection ended.
            conn.close()
            raise self._outcome_unknown(exc) from exc
        except (OSError, http.client.HTTPException) as exc:
            self._abort(conn)
            raise self._outcome_unknown(exc) from exc

    def _outcome_unknown(self, exc):
        return errors.OutcomeUnknownError(
            f'no response: {exc!r}', step='exchange', peer=self._peer
        )

    def _check_deadline(self, conn):
        """Reject a request whose deadline has passed.

        This process may have been paused. The entry regards the attempt as
        ended by now, and a repeated booking may be running.
        """
        expired = time.monotonic() >= self.req.deadline
        if expired or time.time() >= self.req.not_after:
            conn.close()
            raise errors.RefusedError(
                'deadline passed before dispatch', step='deadline'
            )

    def _make_body(self):
        if not self._is_generate:
            return self.req.body
        return json.dumps(
            json.loads(self.req.body)
            | {
                'request_id': self._engine_request_id,
                'priority': self.req.priority,
            }
        ).encode()

    def _check_version(self, conn, resp):
        """Reject a response from another version than the requested one.

        The engine may load another version between the check of what it
        serves and the response; the caller would get the wrong version.
        """
        if not self._is_generate:
            return
        if resp.status == 404:
            # A restarted engine has no model loaded.
            conn.close()
            raise errors.RefusedError(
                'engine has not loaded the model',
                step='engine',
                peer=self._peer,
                retry_after_s=RETRY_AFTER_S,
            )
        answered_version = resp.getheader(headers.ENGINE_MODEL_VERSION, '')
        if self.req.version and answered_version != self.req.version:
            self._abort(conn)
            raise errors.WrongVersionError(
                f'engine responded with version {answered_version!r}, '
                f'not {self.req.version!r}',
                step='engine',
                peer=self._peer,
                retry_after_s=RETRY_AFTER_S,
            )

    def _respond(self, conn, sock, resp):
        response_headers = [
            (name, value)
            for name in (
                'Content-Type',
                headers.ENGINE_MODEL_VERSION,
                headers.RETRY_AFTER,
            )
            if (value := resp.getheader(name)) is not None
        ]
        length = resp.length
        if length is None or length > _MAX_BUFFERED_BYTES:
            if length is not None:
                response_headers.append(('Content-Length', str(length)))
            body = self._iter_body(conn, sock, resp)
        else:
            body = [b''.join(self._iter_body(conn, sock, resp))]
            response_headers.append(('Content-Length', str(len(body[0]))))
        return httpio.Response(resp.status, body, tuple(response_headers))

    def _iter_body(self, conn, sock, resp):
        """Yield the body of the upstream as it arrives.

        Raises:
            errors.IncompleteAnswerError: the body is truncated; the server
                then aborts the response to the entry, too.
        """
        complete = False
        try:
            yield from httpio.iter_body(resp, sock)
            complete = not resp.length
        except httpio.READ_ERRORS as exc:
            raise self._incomplete(repr(exc)) from exc
        finally:
            resp.close()
            if complete:
                conn.close()
            else:
                self._abort(conn)
        if not complete:
            raise self._incomplete('body ended early')

    def _incomplete(self, reason):
        return errors.IncompleteAnswerError(
            f'incomplete response: {reason}', step='relay', peer=self._peer
        )

    def _abort(self, conn):
        conn.close()
        if self._is_generate:
            self.forwarder.cancel(self._engine_request_id)
