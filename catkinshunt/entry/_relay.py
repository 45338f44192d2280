"""One try of a request at one sidecar."""

import http.client
import json
import socket
import time
import uuid

import attrs

from catkinshunt import errors
from catkinshunt import httpio
from catkinshunt.httpio import headers

_STREAM = 'application/x-ndjson'


@attrs.frozen
class Reported:
    """What the head of a reply says of its sender.

    Attributes:
        state: serving or leaving, or None.
        load: requests it has, or None.
        served: model versions it serves as ``model/version``, or None.
    """

    state: str | None = None
    load: float | None = None
    served: frozenset | None = None

    @classmethod
    def from_reply(cls, resp):
        """Read the head of an `http.client.HTTPResponse`."""
        state = resp.getheader(headers.STATE)
        load = resp.getheader(headers.LOAD, '')
        served = resp.getheader(headers.SERVED)
        return cls(
            state if state in ('serving', 'leaving') else None,
            float(load) if load.isdigit() else None,
            None if served is None else _read_served(served),
        )


@attrs.frozen
class Resume:
    """Where a broken answer is taken up again.

    Attributes:
        index: index of the next piece.
        version: the model version that gave the pieces before it.
    """

    index: int
    version: str


@attrs.define(eq=False)
class Opened:
    """A reply whose body is still to be read."""

    address: httpio.Address
    conn: http.client.HTTPConnection
    resp: http.client.HTTPResponse
    #: The connection drops it when the reply says that it closes.
    sock: socket.socket
    #: Whether the connection is in the pool again, and so somebody else's.
    returned: bool = False

    @property
    def streamed(self):
        """Whether the body is a stream of JSON lines."""
        return self.resp.getheader('Content-Type') == _STREAM

    @property
    def model_version(self):
        """The model version that answers, or empty."""
        return self.resp.getheader(headers.ENGINE_MODEL_VERSION, '')

    def close(self):
        """Break the exchange off; the sidecar then cancels it.

        A stream can end as it should and still not be whole; its connection
        may carry another request by then, which closing it would cut.
        """
        if self.returned:
            return
        self.resp.close()
        self.conn.close()


class Relay:
    """Sends requests to sidecars and passes their answers on.

    Args:
        pool: `httpio.ConnectionPool`.
        deployment_key: secret that sidecars ask for.
        stall_s: longest wait for the next piece of an answer.
        keeper: `configuration.ConfigurationReplica` whose revision rides along.
    """

    def __init__(
        self, pool, deployment_key, stall_s=10.0, config_replica=None
    ):
        self.pool = pool
        self.deployment_key = deployment_key
        self.stall_s = stall_s
        self.config_replica = config_replica

    def open(self, req, route, address, now, resume=None, learn=None):
        """Send `req` to the sidecar at `address`; wait for its reply's head.

        Args:
            req: the `CallerRequest`.
            route: the `rules.Route`.
            address: `httpio.Address` of the sidecar.
            now: seconds, monotonic.
            resume: a `Resume`, or None to begin at the beginning.
            learn: called with the `Reported` of the reply, also a refusal.

        Raises:
            errors.RefusedError: not run; no connection, or refused there.
            errors.RequestError: the sidecar's error.
            errors.OutcomeUnknownError: sent, and no reply came.
        """
        left_s = req.deadline - now
        # On a kept connection a request can be lost without a sign whether
        # it ran; one that must not run twice could then not be retried.
        wait_s = self._head_wait_s(req, left_s)
        conn, _ = self.pool.acquire(address, wait_s, fresh=not req.idempotent)
        peer = str(address)
        try:
            if conn.sock is None:
                conn.connect()
        except OSError as exc:
            raise errors.RefusedError(
                f'no connection: {exc}', step='connect', peer=peer
            ) from exc
        exchange_id = uuid.uuid4().hex
        sent = self._headers(req, route, left_s, resume)
        sent[headers.EXCHANGE_ID] = exchange_id
        try:
            body = _resumed_body(req, resume)
            conn.request(req.method, '/upstream' + req.path, body, sent)
            sock = conn.sock
            resp = conn.getresponse()
        except (OSError, http.client.HTTPException) as exc:
            conn.close()
            raise errors.OutcomeUnknownError(
                f'no reply: {exc!r}', step='exchange', peer=peer
            ) from exc
        opened = Opened(address, conn, resp, sock)
        self._check_echo(opened, exchange_id)
        if self.config_replica is not None:
            self.config_replica.observe_revision(
                resp.getheader(headers.REVISION), now
            )
        if learn is not None:
            learn(Reported.from_reply(resp))
        self._check_refusal(opened)
        sock.settimeout(min(left_s, self.stall_s))
        return opened

    def read(self, opened):
        """Yield the body's pieces; raise unless it came to its end.

        Raises:
            errors.IncompleteAnswerError: the body broke off.
        """
        resp = opened.resp
        try:
            yield from httpio.iter_body(resp, opened.sock)
        except httpio.READ_ERRORS as exc:
            opened.close()
            raise _incomplete(opened, repr(exc)) from exc
        if resp.length:
            opened.close()
            raise _incomplete(opened, 'ended early')
        # http.client does not notice by itself that `read1` has taken the
        # last byte of a body with a length, and refuses the next request.
        resp.close()
        opened.returned = True
        self.pool.release(opened.address, opened.conn)

    def read_whole(self, opened):
        """Return the whole body.

        Raises:
            errors.IncompleteAnswerError: the body broke off.
        """
        return b''.join(self.read(opened))

    def _head_wait_s(self, req, left_s):
        """Return the longest wait for the head of a reply.

        A frozen process takes connections and says nothing; if the wait took
        all the time to the deadline, none would be left to try elsewhere. An
        engine begins to answer long before it has ended.
        """
        if not req.model:
            return left_s
        return max(left_s / 2, min(left_s, self.stall_s))

    def _headers(self, req, route, left_s, resume):
        version = resume.version if resume else route.version or ''
        once = {}
        if not req.idempotent:
            not_after = time.time() + left_s
            once[headers.ATTEMPT_ID] = uuid.uuid4().hex[:16]
            once[headers.NOT_AFTER] = f'{not_after:.3f}'
        if self.config_replica is not None:
            once[headers.REVISION] = str(self.config_replica.revision)
        return once | {
            'Content-Type': req.content_type,
            headers.ACCOUNT: req.account,
            headers.DEADLINE_MS: str(int(left_s * 1000)),
            headers.DEPLOYMENT_KEY: self.deployment_key,
            headers.MODEL: headers.encode_text(req.model),
            headers.MODEL_VERSION: headers.encode_text(version),
            headers.PRIORITY: str(route.priority),
            headers.REQUEST_ID: req.request_id,
            headers.WEIGHT: str(route.account_weight),
        }

    def _check_echo(self, opened, exchange_id):
        """Refuse a reply that belongs to another exchange.

        A late or crossed reply would give a caller the answer to somebody
        else's request, and each later reply on the connection as well.
        """
        echoed = opened.resp.getheader(headers.EXCHANGE_ID)
        if echoed == exchange_id:
            return
        opened.close()
        raise errors.OutcomeUnknownError(
            f'reply to another exchange {echoed!r}',
            step='exchange',
            peer=str(opened.address),
        )

    def _check_refusal(self, opened):
        """Raise the sidecar's own error; an upstream's is an answer."""
        if opened.resp.getheader(headers.ERROR) is None:
            return
        try:
            body = self.read_whole(opened)
        except errors.IncompleteAnswerError as exc:
            raise errors.OutcomeUnknownError(
                exc.message, step='exchange', peer=exc.peer
            ) from exc
        raise httpio.read_error(body, str(opened.address))


def _read_served(value):
    """Return the model versions that a sidecar says it serves."""
    names = map(headers.decode_text, value.split(','))
    return frozenset(names) - {''}


def _resumed_body(req, resume):
    if resume is None:
        return req.body
    return json.dumps(
        json.loads(req.body) | {'resume_from': resume.index}
    ).encode()


def _incomplete(opened, reason):
    return errors.IncompleteAnswerError(
        f'answer broke off: {reason}', step='relay', peer=str(opened.address)
    )
