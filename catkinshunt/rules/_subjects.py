"""The two subjects of rules."""

import attrs

from catkinshunt.rules import base


@attrs.frozen
class Request(base.BaseSubject):
    """A caller's request, as far as rules may look at it."""

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
    """Something that happens to an instance.

    The kind ``'placement'`` asks which model version the instance should
    hold.
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
