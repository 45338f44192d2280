"""Decides which events of a resumed or spoilt stream are relayed."""


class EventOrder:
    """Order of the events that one upstream sends.

    Upstreams that number their events do so without a gap. An event that
    breaks this order, or that cannot be read, breaks the stream.

    Args:
        progress: the `Progress` of the request, which holds what the client
            got from all upstreams.
        are_numbered: whether each event of an upstream has an id. If not, it
            must have one after an event that has.
    """

    #: Id of the first event of most streams. With another one, the place in
    #: the stream is certain after the second event.
    USUAL_FIRST_ID = 1

    def __init__(self, progress, are_numbered):
        self.progress = progress
        self.are_numbered = are_numbered
        #: Id of the first and of the last event of this upstream, or None.
        self._first_id = None
        self._last_id = None
        self._has_new = False
        self._has_unnumbered = False

    def select_new(self, events):
        """Return the bytes not relayed yet, and why the stream breaks.

        Events before the break are still relayed and counted; the next
        upstream resumes after them. The reason is '' if it does not break.

        Args:
            events: `_events.Event` objects in order of arrival.
        """
        unsent = []
        for event in events:
            if event.is_comment:
                # It is sent again with the events that a client has.
                if self._has_new:
                    unsent.append(event.data)
                continue
            fault = event.fault or self._find_fault(event.id)
            if fault:
                return b''.join(unsent), fault
            if self._first_id is None:
                self._first_id = event.id
            self._last_id = event.id
            last = self.progress.last_event_id
            if None in (event.id, last) or event.id > last:
                self._count(event.id)
                unsent.append(event.data)
        return b''.join(unsent), ''

    def find_fault_at_end(self):
        """Return why the stream must not end here, or ''.

        An upstream that repeats events has to reach the last one that the
        client has. One that begins with that one may have sent a spoilt id.
        """
        last = self.progress.last_event_id
        if self._has_new or self._last_id is None:
            return ''
        if self._first_id < self._last_id == last:
            return ''
        return f'stream ended after event {self._last_id} of {last}'

    def _find_fault(self, event_id):
        last = self.progress.last_event_id
        if event_id is None:
            if self.are_numbered or last is not None:
                return f'event without an id after {last}'
            return ''
        if self._last_id is not None and event_id != self._last_id + 1:
            return f'event {event_id} came after {self._last_id}'
        if last is not None and event_id > last + 1:
            return f'event {event_id} came after {last}'
        return ''

    def _count(self, event_id):
        """Record in the progress that an event is relayed."""
        progress = self.progress
        self._has_unnumbered |= event_id is None
        progress.can_continue = not self._has_unnumbered and (
            progress.last_event_id is not None
            or event_id == self.USUAL_FIRST_ID
        )
        progress.last_event_id = event_id
        self._has_new = True
