"""Metrics of a gateway."""

from catkinshunt import metrics


class GatewayMetrics:
    """Records the outcome and duration of requests.

    Args:
        registry: `metrics.Registry`.
    """

    def __init__(self, registry=None):
        self.registry = registry or metrics.Registry()
        self._ended = self.registry.counter(
            'requests_total', 'Requests ended.', ('service', 'outcome')
        )
        self._duration = self.registry.recorder(
            'request_duration_seconds', 'Time from request to end of answer.'
        )
        self._first = self.registry.recorder(
            'first_byte_seconds', "Time from request to the answer's begin."
        )
        self._sends = self.registry.counter(
            'upstream_tries_total', 'Requests sent to upstreams.', ('try',)
        )
        # 'resumed' ended before another upstream replied, 'replaced' did not.
        self._silences = self.registry.counter(
            'upstream_silences_total',
            'Replies of upstreams that sent nothing while one was due.',
            ('end',),
        )
        self._foreign_replies = self.registry.counter(
            'foreign_replies_total',
            'Replies of upstreams that were not taken for the awaited ones.',
            ('reason',),
        )
        #: Counted by `HeaderAudit`.
        self.ignored_headers = self.registry.counter(
            'ignored_upstream_headers_total',
            'Headers of upstreams that are unknown or cannot be read.',
            ('reason', 'header'),
        )
        self._stops = self.registry.counter(
            'quarantine_stops_total',
            'Requests rejected since they may crash upstreams.',
            ('kind',),
        )
        #: Counted by `RequestAudit`.
        self.omitted_prompt_parts = self.registry.counter(
            'omitted_prompt_parts_total',
            'Requests with prompt parts that the gateway ignores.',
        )

    def record(self, service, outcome, duration_s, progress):
        """Count one request that has ended."""
        self._ended.add(service, outcome)
        self._duration.observe(duration_s)
        if progress.first_s is not None:
            self._first.observe(progress.first_s)
        if progress.sends:
            self._sends.add('first')
        # 'further' are those after the first of one client attempt.
        if progress.sends > 1:
            self._sends.add('further', amount=progress.sends - 1)

    def record_silence(self, end):
        """Count the silence of an upstream in a reply, by how it ended."""
        self._silences.add(end)

    def record_foreign_reply(self, reason):
        """Count a reply that is not taken for the one to the request.

        Args:
            reason: `'another request'`, `'no request'`, `'unsigned'`,
                `'wrong length'`, `'wrong event'` or `'within a body'`.
        """
        self._foreign_replies.add(reason)

    def record_stop(self, kind):
        """Count a request that the quarantine rejected.

        Args:
            kind: `'whole'` if the request itself may crash upstreams, or
                `'part'` if a part of its prompt may.
        """
        self._stops.add(kind)
