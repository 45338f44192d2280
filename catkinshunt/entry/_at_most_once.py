"""At-most-once execution of requests with an idempotency key."""

import uuid

import attrs

from catkinshunt import base
from catkinshunt import claims
from catkinshunt import errors
from catkinshunt import httpio
from catkinshunt.httpio import headers
from catkinshunt import logs

_RETRY_AFTER_S = 1.0
_log = logs.get_logger('claims')


class AtMostOnce(base.ParamsMixin):
    """Claims a request before it is dispatched and records its outcome.

    Args:
        ledger: a started `claims.BaseLedger`.
        body_limit_bytes: responses up to this size are stored for repeated
            requests.
    """

    def __init__(self, ledger, body_limit_bytes=1024):
        self.ledger = ledger
        self.body_limit_bytes = body_limit_bytes

    def execute(self, req, dispatch, now, epoch_now):
        """Dispatch `req` once, or return the recorded outcome of its key.

        Args:
            req: the `CallerRequest`.
            dispatch: function that runs the request and returns the
                `httpio.Response`; called at most once.
            now: present time, monotonic seconds.
            epoch_now: present time, seconds since the epoch.

        Raises:
            errors.RequestError: the request did not run, is in progress
                elsewhere, or `dispatch` failed.
        """
        if req.idempotent or not req.idempotency_key:
            return dispatch()
        claim = self._claim(req, now, epoch_now)
        if claim.state is not claims.State.GRANTED:
            return _make_repeat_response(claim, req.request_id)
        try:
            resp = dispatch()
        except errors.RequestError as exc:
            # The claim is released only if the request did not run. Otherwise
            # a repeated request could run a second time.
            if exc.ran == 'no':
                self.ledger.release(claim, epoch_now)
            raise
        return attrs.evolve(
            resp, body=self._relay_and_record(claim, resp, epoch_now)
        )

    def _claim(self, req, now, epoch_now):
        digest = claims.compute_request_digest(
            req.method, f'/{req.service}{req.path}', req.body
        )
        claim = self.ledger.claim(
            req.account,
            req.idempotency_key,
            digest,
            uuid.uuid4().hex[:16],
            epoch_now,
            epoch_now + req.deadline - now,
        )
        _log.info(
            'Claim of the idempotency key: {claim}.',
            request_id=req.request_id,
            claim=claim.state.value,
        )
        return claim

    def _relay_and_record(self, claim, resp, epoch_now):
        """Yield the body; record the outcome when it ends or fails."""
        recorded_body = b''
        try:
            for piece in resp.body:
                if recorded_body is not None:
                    recorded_body += piece
                    if len(recorded_body) > self.body_limit_bytes:
                        recorded_body = None
                yield piece
        except BaseException:
            # Also raised when the caller disconnects. The request ran, but a
            # partial body must not be recorded as the complete one.
            recorded_body = None
            raise
        finally:
            content_type = dict(resp.headers).get('Content-Type', '')
            outcome = claims.Outcome(resp.status, content_type, recorded_body)
            self.ledger.finish(claim, outcome, epoch_now)


def _make_repeat_response(claim, request_id):
    state = claim.state
    if state is claims.State.MISMATCH:
        raise errors.KeyReusedError(
            'the idempotency key was used for another request', step='claim'
        )
    if state is claims.State.IN_PROGRESS:
        raise errors.InProgressError(
            'the request is in progress',
            step='claim',
            retry_after_s=_RETRY_AFTER_S,
        )
    if state is claims.State.UNKNOWN:
        raise errors.OutcomeUnknownError(
            'an earlier attempt may have run; its outcome is unknown',
            step='claim',
        )
    outcome = claim.outcome
    if outcome is None or outcome.body is None:
        raise errors.AnswerNotKeptError(
            'the request ran before; its response was not stored', step='claim'
        )
    response_headers = (
        ('Content-Type', outcome.content_type),
        ('Content-Length', str(len(outcome.body))),
        (headers.REQUEST_ID, request_id),
    )
    return httpio.Response(outcome.status, [outcome.body], response_headers)
