"""Brings one request to its whole answer, or to a clear error."""

import json
import time

from catkinshunt.entry import _lines
from catkinshunt.entry import _relay
from catkinshunt import errors
from catkinshunt import httpio
from catkinshunt.httpio import headers
from catkinshunt import logs
from catkinshunt import routing

#: Bodies of a known length up to this are read whole before the caller gets
#: the first byte, so that one that breaks off can still be asked for again.
_MAX_BUFFERED_BYTES = 1024 * 1024
_FORWARDED_HEADERS = ('Content-Type', headers.ENGINE_MODEL_VERSION)
_log = logs.get_logger('routing')


class Delivery:
    """The tries of one request.

    Args:
        fleet: a `UpstreamSelector`.
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
        """Return the `httpio.Response`; a stream goes on being read.

        Raises:
            errors.RequestError: there is no answer.
        """
        self.retry.offer()
        while True:
            open_resp = self._open()
            if open_resp.is_stream and self.req.model:
                return self._respond(open_resp, self._relay_lines(open_resp))
            length = open_resp.resp.length
            if length is None or length > _MAX_BUFFERED_BYTES:
                return self._respond(open_resp, self._relay_body(open_resp))
            try:
                body = self.relay.read_whole(open_resp)
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
        """Try upstreams until one begins to answer.

        Raises:
            errors.RequestError: no further try is allowed.
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
                errors.RefusedError('deadline has passed', step='choose')
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
            # What the last upstream said tells the caller more.
            self._raise_final(self._last_error or exc)
        self._n_attempts += 1
        self._status = _relay.SidecarStatus()
        _log.info(
            'Rule {rule}: {choice} of {candidates}, {grounds}.',
            request_id=self.req.request_id,
            rule=self.rule.name,
            choice=self._choice.upstream.name,
            candidates=self._choice.candidates,
            grounds=self._choice.grounds,
        )

    def _record_status(self, status):
        """Keep what the head of a reply says of its sender."""
        self._status = status

    def _observe(self, result, finished):
        """Tell the router of an exchange, and once what its head said.

        At the end of a long stream the head's load is old.
        """
        status, self._status = self._status, _relay.SidecarStatus()
        self.selector.observe(
            routing.Observation(
                self._choice.upstream,
                result,
                state=status.state,
                load=status.load,
                model_versions=status.served_versions,
                finished=finished,
            ),
            time.monotonic(),
        )

    def _report_end(self, result):
        """Note that the exchange with the chosen upstream has ended."""
        self._observe(result, finished=True)

    def _handle_failure(self, exc):
        """Note a failed try; return if another one is allowed.

        Raises:
            errors.RequestError: it is not.
        """
        is_rejected = exc.ran == 'no' and exc.step != 'connect'
        result = routing.Result.FAILED
        if is_rejected:
            result = routing.Result.REFUSED
        self._report_end(result)
        self._may_have_run |= exc.ran != 'no'
        self._failed_upstreams.add(self._choice.upstream.name)
        self._last_error = exc
        decision = self.retry.check(
            exc,
            self.req.idempotent,
            self._n_attempts,
            self.req.deadline,
            time.monotonic(),
        )
        _log.info(
            'Failed at {choice}, {verdict}: {cause}; {grounds}.',
            request_id=self.req.request_id,
            choice=self._choice.upstream.name,
            verdict='tried again' if decision.should_retry else 'given up',
            cause=exc,
            grounds=decision.grounds,
        )
        if not decision.should_retry:
            self._raise_final(exc)

    def _raise_final(self, exc):
        """Raise `exc`, or what is true of all tries together."""
        if exc.ran == 'no' and self._may_have_run:
            raise errors.OutcomeUnknownError(
                f'an earlier try may have run; {exc.message}',
                step=exc.step,
                peer=exc.peer,
                retry_after_s=exc.retry_after_s,
            ) from exc
        raise exc

    def _relay_body(self, open_resp):
        """Yield a body that is too long to be held."""
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
        """Yield whole lines, taking the stream up elsewhere if it breaks."""
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
                        # The caller has all lines; only what ends the body
                        # was lost.
                        self._report_end(routing.Result.FAILED)
                        return
                    open_resp = self._resume(exc, validator, open_resp)
        except GeneratorExit:
            # The caller went away; the sidecar sees the connection close and
            # has the engine cancel, or it would go on for nobody.
            open_resp.close()
            self._report_end(routing.Result.CANCELLED)
            raise
        except errors.RequestError as exc:
            # Without this line and the break a caller could take what came
            # so far for the whole answer.
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
        """Return the stream's rest from another upstream."""
        self._handle_failure(exc)
        validator.discard_partial_line()
        version = broken_resp.model_version
        resume = _relay.ResumePoint(validator.next_index, version)
        open_resp = self._open(resume)
        if open_resp.model_version != version:
            # Pieces of two versions would make one answer of neither.
            open_resp.close()
            self._report_end(routing.Result.REFUSED)
            raise errors.IncompleteAnswerError(
                f'no other upstream answered from version {version}',
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
