"""Subjects that rules are matched against."""

import attrs

from catkinshunt.rules import base


@attrs.frozen
class Request(base.BaseSubject):
    """Properties of a client request that rules can match."""

    keyword = 'request'
    indexed_fields = ('service', 'host')

    service: str = ''
    host: str = ''
    account: str = ''
    model: str = ''
    method: str = ''
    path: str = ''
    data_centre: str = ''
    region: str = ''
    idempotent: bool = False


@attrs.frozen
class Event(base.BaseSubject):
    """Properties of an event at an instance that rules can match.

    The kind ``'placement'`` selects the model version that the instance
    should hold.
    """

    keyword = 'event'
    indexed_fields = ('service',)

    kind: str = ''
    service: str = ''
    data_centre: str = ''
    region: str = ''
    instance: str = ''
    model: str = ''
    version: str = ''


SUBJECTS = {cls.keyword: cls for cls in (Request, Event)}
