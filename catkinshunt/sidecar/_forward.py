"""Passes admitted requests to the upstream and its answers back."""

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

_WHOLE_BYTES = 1024 * 1024
_GENERATE = '/generate'
#: Longest wait for an engine to begin or to go on, in seconds.
_STALL_S = 10.0
_CANCEL_TIMEOUT_S = 2.0
RETRY_AFTER_S = 1.0
_log = logs.get_logger('forward')


class Forwarder(base.ParamsMixin):
    """The only way to the upstream.

    Args:
        cfg: `settings.SidecarSettings`.
        admission: a `limits.Admission`.
    """

    def __init__(self, cfg, admission):
        self.cfg = cfg
        self.admission = admission
        self._upstream = httpio.Address.parse(cfg.upstream)
        self._pool = httpio.ConnectionPool()

    def forward(self, req):
        """Return the upstream's `httpio.Response` to a `Forwarded`.

        Raises:
            errors.RequestError: there is none.
        """
        ticket = limits.Ticket(
            req.request_id, req.account, req.deadline, req.weight
        )
        self.admission.offer(ticket, time.monotonic())
        self.admission.wait(ticket, time.monotonic())
        exchange = _Exchange(self, req)
        try:
            if req.is_gone():
                # Its answer could reach nobody.
                raise errors.RefusedError('caller has gone', step='admit')
            resp = exchange.open()
        except BaseException:
            self.admission.finish(ticket, time.monotonic())
            raise
        if isinstance(resp.body, list):
            self.admission.finish(ticket, time.monotonic())
            return resp
        return attrs.evolve(resp, body=self._observed(resp.body, ticket))

    def _observed(self, body, ticket):
        """Yield `body`; its place is free for the next when it has ended."""
        try:
            yield from body
        finally:
            self.admission.finish(ticket, time.monotonic())

    def connect(self, timeout_s, fresh):
        """Return a connection to the upstream, and whether it was kept.

        Args:
            timeout_s: longest wait for each step on it.
            fresh: return a new one. The upstream may close a kept one at any
                time, and a request lost on it cannot be told from one that
                ran.

        Raises:
            errors.RefusedError: there is none; nothing was run.
        """
        conn, kept = self._pool.acquire(self._upstream, timeout_s, fresh)
        if kept:
            return conn, True
        try:
            conn.connect()
        except OSError as exc:
            raise errors.RefusedError(
                f'no connection: {exc}',
                step='connect',
                peer=str(self._upstream),
                retry_after_s=RETRY_AFTER_S,
            ) from exc
        return conn, False

    def release(self, conn):
        """Keep a connection whose exchange is complete."""
        self._pool.release(self._upstream, conn)

    def cancel(self, engine_request_id):
        """Tell the engine that nobody waits for an answer any more."""
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
            _log.info('Engine was not told to cancel: {}', exc)


class _Exchange:
    """One request at the upstream."""

    def __init__(self, forwarder, req):
        self.forwarder = forwarder
        self.req = req
        cfg = forwarder.cfg
        self._generates = cfg.is_engine and req.path == _GENERATE
        self._peer = cfg.upstream
        # Not the id of the request: a try that is cancelled must not cancel
        # another try of the same request.
        self._engine_id = uuid.uuid4().hex

    def open(self):
        """Send the request; return the response, still to be read."""
        conn, sock, resp = self._send(fresh=bool(self.req.attempt_id))
        self._check_version(conn, resp)
        return self._respond(conn, sock, resp)

    def _send(self, fresh):
        left_s = max(0.001, self.req.deadline - time.monotonic())
        if self._generates:
            # A frozen engine would keep its place until the deadline.
            left_s = min(left_s, _STALL_S)
        conn, kept = self.forwarder.connect(left_s, fresh)
        self._check_time(conn)
        try:
            conn.request(
                self.req.method,
                self.req.path,
                self._body(),
                {'Content-Type': self.req.content_type},
            )
            # The connection drops it when the reply says that it closes.
            sock = conn.sock
            return conn, sock, conn.getresponse()
        except ConnectionError as exc:
            conn.close()
            if kept:
                # Closed while it was kept; the request does no harm twice.
                return self._send(fresh=True)
            raise self._lost(exc) from exc
        except (OSError, http.client.HTTPException) as exc:
            self._break_off(conn)
            raise self._lost(exc) from exc

    def _lost(self, exc):
        return errors.OutcomeUnknownError(
            f'no reply: {exc!r}', step='exchange', peer=self._peer
        )

    def _check_time(self, conn):
        """Refuse what has waited past its deadline.

        This process may have been paused meanwhile. By now the entry counts
        the try as over, and a repeat of a booking may be running.
        """
        over = time.monotonic() >= self.req.deadline
        if over or time.time() >= self.req.not_after:
            conn.close()
            raise errors.RefusedError(
                'deadline passed before dispatch', step='deadline'
            )

    def _body(self):
        if not self._generates:
            return self.req.body
        return json.dumps(
            json.loads(self.req.body)
            | {'request_id': self._engine_id, 'priority': self.req.priority}
        ).encode()

    def _check_version(self, conn, resp):
        """Refuse an answer from another version than was routed for.

        The engine may change over between the check of what it serves and
        the answer; the caller would get the wrong model's answer.
        """
        if not self._generates:
            return
        if resp.status == 404:
            # An engine that was restarted holds no model.
            conn.close()
            raise errors.RefusedError(
                'engine does not hold the model',
                step='engine',
                peer=self._peer,
                retry_after_s=RETRY_AFTER_S,
            )
        given = resp.getheader(headers.ENGINE_MODEL_VERSION, '')
        if self.req.version and given != self.req.version:
            self._break_off(conn)
            raise errors.WrongVersionError(
                f'engine answered from {given!r}, not {self.req.version!r}',
                step='engine',
                peer=self._peer,
                retry_after_s=RETRY_AFTER_S,
            )

    def _respond(self, conn, sock, resp):
        passed = [
            (name, value)
            for name in ('Content-Type', headers.ENGINE_MODEL_VERSION)
            if (value := resp.getheader(name)) is not None
        ]
        length = resp.length
        if length is None or length > _WHOLE_BYTES:
            if length is not None:
                passed.append(('Content-Length', str(length)))
            body = self._pieces(conn, sock, resp)
        else:
            body = [b''.join(self._pieces(conn, sock, resp))]
            passed.append(('Content-Length', str(len(body[0]))))
        return httpio.Response(resp.status, body, tuple(passed))

    def _pieces(self, conn, sock, resp):
        """Yield the upstream's body as it comes.

        Raises:
            errors.IncompleteAnswerError: it broke off; the server then
                breaks off the answer to the entry, too.
        """
        whole = False
        try:
            yield from httpio.iter_body(resp, sock)
            whole = not resp.length
        except httpio.READ_ERRORS as exc:
            raise self._incomplete(repr(exc)) from exc
        finally:
            resp.close()
            if whole:
                self.forwarder.release(conn)
            else:
                self._break_off(conn)
        if not whole:
            raise self._incomplete('ended early')

    def _incomplete(self, reason):
        return errors.IncompleteAnswerError(
            f'answer broke off: {reason}', step='relay', peer=self._peer
        )

    def _break_off(self, conn):
        conn.close()
        if self._generates:
            self.forwarder.cancel(self._engine_id)
