"""Keeps a request with an idempotency key from running twice."""

import uuid

import attrs

from catkinshunt import base
from catkinshunt import claims
from catkinshunt import errors
from catkinshunt import httpio
from catkinshunt.httpio import headers
from catkinshunt import logs

_REPEAT_AFTER_S = 1.0
_log = logs.get_logger('claims')


class AtMostOnce(base.ParamsMixin):
    """Claims a request before it is dispatched and records how it ended.

    Args:
        ledger: a started `claims.BaseLedger`.
        body_limit_bytes: answers up to this size are kept for repeats.
    """

    def __init__(self, ledger, body_limit_bytes=1024):
        self.ledger = ledger
        self.body_limit_bytes = body_limit_bytes

    def answer(self, req, dispatch, now, epoch_now):
        """Answer `req` from `dispatch`, or from what is known of it.

        Args:
            req: the `CallerRequest`.
            dispatch: function that runs the request and returns the
                `httpio.Response`; called at most once.
            now: present time, monotonic seconds.
            epoch_now: present time, seconds since the epoch.

        Raises:
            errors.RequestError: the request did not run, runs elsewhere, or
                ended in an error of `dispatch`.
        """
        if req.idempotent or not req.idempotency_key:
            return dispatch()
        claim = self._claim(req, now, epoch_now)
        if claim.state is not claims.State.GRANTED:
            return _answer_repeat(claim, req.request_id)
        try:
            resp = dispatch()
        except errors.RequestError as exc:
            # Only a request known not to have run may be tried again. Any
            # other stays claimed, so that a repeat is never run.
            if exc.ran == 'no':
                self.ledger.release(claim, epoch_now)
            raise
        return attrs.evolve(resp, body=self._record(claim, resp, epoch_now))

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
            'Claim is {claim}.',
            request_id=req.request_id,
            claim=claim.state.value,
        )
        return claim

    def _record(self, claim, resp, epoch_now):
        """Pass the body on; record it once it has ended or broken off."""
        kept = b''
        try:
            for piece in resp.body:
                if kept is not None:
                    kept += piece
                    if len(kept) > self.body_limit_bytes:
                        kept = None
                yield piece
        except BaseException:
            # Also when the caller goes away. The request ran, and what is
            # there of its answer must not pass as the whole.
            kept = None
            raise
        finally:
            kind = dict(resp.headers).get('Content-Type', '')
            outcome = claims.Outcome(resp.status, kind, kept)
            self.ledger.finish(claim, outcome, epoch_now)


def _answer_repeat(claim, request_id):
    state = claim.state
    if state is claims.State.MISMATCH:
        raise errors.KeyReusedError(
            'the idempotency key belongs to another request', step='claim'
        )
    if state is claims.State.IN_PROGRESS:
        raise errors.InProgressError(
            'the request is being run',
            step='claim',
            retry_after_s=_REPEAT_AFTER_S,
        )
    if state is claims.State.UNKNOWN:
        raise errors.OutcomeUnknownError(
            'an earlier try may have run; its outcome is not known',
            step='claim',
        )
    outcome = claim.outcome
    if outcome is None or outcome.body is None:
        raise errors.AnswerNotKeptError(
            'the request ran before; its answer was not kept', step='claim'
        )
    given = (
        ('Content-Type', outcome.content_type),
        ('Content-Length', str(len(outcome.body))),
        (headers.REQUEST_ID, request_id),
    )
    return httpio.Response(outcome.status, [outcome.body], given)
