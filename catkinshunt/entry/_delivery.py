"""Delivers one request: retries, resumed streams and error reporting."""

import json
import time

from catkinshunt.entry import _lines
from catkinshunt.entry import _relay
from catkinshunt import errors
from catkinshunt import httpio
from catkinshunt.httpio import headers
from catkinshunt import logs
from catkinshunt import routing

#: Bodies of known length up to this size are buffered before the caller gets
#: the first byte, so that a truncated one can still be retried.
_MAX_BUFFERED_BYTES = 1024 * 1024
_FORWARDED_HEADERS = ('Content-Type', headers.ENGINE_MODEL_VERSION)
_log = logs.get_logger('routing')


class Delivery:
    """All attempts at one request.

    Args:
        selector: an `UpstreamSelector`.
        relay: a `Relay`.
        retry: a `retries.RetryPolicy`.
        req: the `CallerRequest`.
        rule: the rule that matched.
    """

    def __init__(self, selector, relay, retry, req, rule):
        self.selector = selector
        self.relay = relay
        self.retry = retry
        self.req = req
        self.rule = rule
        self._n_attempts = 0
        self._failed_upstreams = set()
        self._may_have_run = False
        self._choice = None
        self._status = _relay.SidecarStatus()
        self._last_error = None

    def deliver(self):
        """Return the `httpio.Response`; its body may still be streaming.

        Raises:
            errors.RequestError: no attempt gave a response.
        """
        self.retry.add_request()
        while True:
            open_resp = self._open()
            if open_resp.is_stream and self.req.model:
                return self._respond(open_resp, self._relay_lines(open_resp))
            length = open_resp.resp.length
            if length is None or length > _MAX_BUFFERED_BYTES:
                return self._respond(open_resp, self._relay_body(open_resp))
            try:
                body = self.relay.read_all(open_resp)
            except errors.IncompleteAnswerError as exc:
                self._handle_failure(exc)
                continue
            self._report_end(routing.Result.ANSWERED)
            return self._respond(open_resp, [body])

    def _respond(self, open_resp, body):
        response_headers = [
            (name, value)
            for name in _FORWARDED_HEADERS
            if (value := open_resp.resp.getheader(name)) is not None
        ]
        response_headers.append((headers.REQUEST_ID, self.req.request_id))
        if isinstance(body, list):
            response_headers.append(('Content-Length', str(len(body[0]))))
        return httpio.Response(
            open_resp.resp.status, body, tuple(response_headers)
        )

    def _open(self, resume=None):
        """Try upstreams until one returns response headers.

        Raises:
            errors.RequestError: no further attempt is allowed.
        """
        while True:
            self._choose(resume)
            try:
                open_resp = self.relay.open(
                    self.req,
                    self.rule.then,
                    self._choice.upstream.address,
                    time.monotonic(),
                    resume,
                    self._record_status,
                )
            except errors.RequestError as exc:
                self._handle_failure(exc)
                continue
            self._observe(routing.Result.ANSWERED, finished=False)
            return open_resp

    def _choose(self, resume):
        now = time.monotonic()
        if now >= self.req.deadline:
            self._raise_final(
                errors.RefusedError('deadline exceeded', step='choose')
            )
        route = self.rule.then
        version = resume.version if resume else route.version
        route_req = routing.RouteRequest(
            service=route.service,
            request_id=self.req.request_id,
            prefix=self.req.prefix,
            model=self.req.model,
            model_version=version or '',
            excluded=self._failed_upstreams,
            idempotent=self.req.idempotent,
        )
        try:
            self._choice = self.selector.choose(route_req, now, route.policy)
        except errors.RefusedError as exc:
            # The last upstream's error is more specific.
            self._raise_final(self._last_error or exc)
        self._n_attempts += 1
        self._status = _relay.SidecarStatus()
        _log.info(
            'Rule {rule}: chose {choice} of {candidates}, {grounds}.',
            request_id=self.req.request_id,
            rule=self.rule.name,
            choice=self._choice.upstream.name,
            candidates=self._choice.candidates,
            grounds=self._choice.grounds,
        )

    def _record_status(self, status):
        """Store the status in the headers of the current response."""
        self._status = status

    def _observe(self, result, finished):
        """Report the result of an exchange to the router.

        The status from the headers is reported only once: at the end of a
        long stream its load is outdated.
        """
        status, self._status = self._status, _relay.SidecarStatus()
        self.selector.observe(
            routing.Observation(
                self._choice.upstream,
                result,
                state=status.state,
                load=status.load,
                model_versions=status.served_versions,
                back_off_s=status.back_off_s,
                finished=finished,
            ),
            time.monotonic(),
        )

    def _report_end(self, result):
        """Report the end of the exchange with the chosen upstream."""
        self._observe(result, finished=True)

    def _handle_failure(self, exc):
        """Record a failed attempt; return if another one is allowed.

        Raises:
            errors.RequestError: no further attempt is allowed.
        """
        is_rejected = exc.ran == 'no' and exc.step != 'connect'
        result = routing.Result.FAILED
        if is_rejected:
            result = routing.Result.REFUSED
        self._report_end(result)
        self._may_have_run |= exc.ran != 'no'
        self._failed_upstreams.add(self._choice.upstream.name)
        self._last_error = exc
        decision = self.retry.decide(
            exc,
            self.req.idempotent,
            self._n_attempts,
            self.req.deadline,
            time.monotonic(),
        )
        _log.info(
            'Attempt at {choice} failed, {verdict}: {cause}; {grounds}.',
            request_id=self.req.request_id,
            choice=self._choice.upstream.name,
            verdict='tried again' if decision.should_retry else 'given up',
            cause=exc,
            grounds=decision.grounds,
        )
        if not decision.should_retry:
            self._raise_final(exc)

    def _raise_final(self, exc):
        """Raise `exc`, or unknown if an earlier attempt may have run."""
        if exc.ran == 'no' and self._may_have_run:
            raise errors.OutcomeUnknownError(
                f'an earlier attempt may have run; {exc.message}',
                step=exc.step,
                peer=exc.peer,
                retry_after_s=exc.retry_after_s,
            ) from exc
        raise exc

    def _relay_body(self, open_resp):
        """Yield a body that is too long to be buffered."""
        result = routing.Result.CANCELLED
        try:
            yield from self.relay.read(open_resp)
            result = routing.Result.ANSWERED
        except errors.IncompleteAnswerError:
            result = routing.Result.FAILED
            raise
        finally:
            if result != routing.Result.ANSWERED:
                open_resp.close()
            self._report_end(result)

    def _relay_lines(self, open_resp):
        """Yield complete lines; resume a broken stream at another upstream."""
        validator = _lines.LineValidator(self.req.first_index)
        try:
            while True:
                try:
                    yield from self._read_lines(open_resp, validator)
                    self._report_end(routing.Result.ANSWERED)
                    return
                except errors.IncompleteAnswerError as exc:
                    open_resp.close()
                    if validator.done:
                        # The caller has all lines; only the end of the body
                        # is missing.
                        self._report_end(routing.Result.FAILED)
                        return
                    open_resp = self._resume(exc, validator, open_resp)
        except GeneratorExit:
            # The caller disconnected. Closing the connection makes the
            # sidecar cancel the request; otherwise the engine would continue.
            open_resp.close()
            self._report_end(routing.Result.CANCELLED)
            raise
        except errors.RequestError as exc:
            # Without this line and the broken connection a caller could take
            # the partial response for a complete one.
            yield _error_line(exc, self.req.request_id)
            raise

    def _read_lines(self, open_resp, validator):
        for piece in self.relay.read(open_resp):
            lines = validator.feed(piece)
            if lines:
                yield lines
            validator.check()
        validator.check_end()

    def _resume(self, exc, validator, broken_resp):
        """Continue the stream at another upstream."""
        self._handle_failure(exc)
        validator.discard_partial_line()
        version = broken_resp.model_version
        resume = _relay.ResumePoint(validator.next_index, version)
        open_resp = self._open(resume)
        if open_resp.model_version != version:
            # One response must not mix the pieces of two versions.
            open_resp.close()
            self._report_end(routing.Result.REFUSED)
            raise errors.IncompleteAnswerError(
                f'no other upstream serves version {version}',
                step='resume',
                peer=str(open_resp.address),
            )
        return open_resp


def _error_line(exc, request_id):
    value = {
        'code': errors.IncompleteAnswerError.code,
        'message': exc.message,
        'ran': errors.IncompleteAnswerError.ran,
        'retry_after_s': exc.retry_after_s,
        'request_id': request_id,
        'step': exc.step,
    }
    return json.dumps({'error': value}).encode() + b'\n'
