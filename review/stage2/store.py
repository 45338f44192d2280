"""The platform's store: keys, revisions, watches and leases."""

import asyncio
import base64
import json
import urllib.parse

from review.stage2 import http


class Store:
    """Answers as PROTOCOL.md says; it loses nothing and is never away."""

    def __init__(self):
        self.items = {}
        self.events = []
        self.revision = 1
        self._leases = {}
        self._count = 0
        self._changed = asyncio.Event()

    def put(self, key, document):
        """Write a JSON document as operator or runner; None removes it."""
        value = None
        if document is not None:
            value = base64.b64encode(json.dumps(document).encode()).decode()
        self._write(key, value, 0)

    def _write(self, key, data, lease):
        self.revision += 1
        if data is None:
            if self.items.pop(key, None) is None:
                return
            event = {'key': key, 'revision': self.revision, 'deleted': True}
        else:
            known = self.items.get(key)
            event = {
                'key': key,
                'data': data,
                'revision': self.revision,
                'created': known['created'] if known else self.revision,
                'lease': lease,
            }
            self.items[key] = event
        self.events.append(event)
        self._changed.set()
        self._changed = asyncio.Event()

    async def handle(self, message, reader, writer):
        """Answer one call."""
        path, _, text = message.target.partition('?')
        query = dict(urllib.parse.parse_qsl(text))
        if path == '/-/kv-watch':
            status, document = await self._watch(query)
        else:
            status, document = self._answer(message, path, query)
        writer.write(http.reply_json(status, document))
        return True

    def _answer(self, message, path, query):
        prefix = query.get('path_prefix', '')
        name = path.rpartition('/')[2]
        if path == '/-/kv-key':
            item = self.items.get(query['key'])
            if item is None:
                return 404, {'at': self.revision}
            return 200, {**item, 'at': self.revision}
        if path == '/-/kv-range':
            keys = sorted(
                key
                for key in self.items
                if key.startswith(prefix) and key > query.get('after', '')
            )
            found = [self.items[key] for key in keys]
            document = {'entries': found, 'has_more': False}
            return 200, {**document, 'at': self.revision}
        document = json.loads(message.body or b'{}')
        if path == '/-/kv-txn':
            return self._change(document)
        if path == '/-/kv-lease':
            self._count += 1
            self._hold(self._count, document['ttl_ms'] / 1000)
            return 200, {'lease': self._count, 'ttl_ms': document['ttl_ms']}
        lease = int(name)
        if lease not in self._leases:
            return 404, {}
        ttl_s, _ = self._leases[lease]
        if path.startswith('/-/kv-keep/'):
            self._hold(lease, ttl_s)
            return 200, {'ttl_ms': round(ttl_s * 1000)}
        self._end(lease)
        return 200, {}

    def _change(self, document):
        for row in document.get('expected', ()):
            item = self.items.get(row['key'])
            if row['revision'] != (item['revision'] if item else 0):
                return 412, {'entries': [item] if item else []}
        for row in document.get('write', ()):
            if row.get('lease') and row['lease'] not in self._leases:
                return 404, {}
        for row in document.get('write', ()):
            self._write(row['key'], row['data'], row.get('lease') or 0)
        for key in document.get('remove', ()):
            self._write(key, None, 0)
        return 200, {'revision': self.revision}

    def _hold(self, lease, ttl_s):
        known = self._leases.get(lease)
        if known is not None:
            known[1].cancel()
        loop = asyncio.get_running_loop()
        timer = loop.call_later(ttl_s, self._end, lease)
        self._leases[lease] = (ttl_s, timer)

    def _end(self, lease):
        _, timer = self._leases.pop(lease)
        timer.cancel()
        for key, item in list(self.items.items()):
            if item['lease'] == lease:
                self._write(key, None, 0)

    async def _watch(self, query):
        prefix = query.get('path_prefix', '')
        after = int(query['after'])
        loop = asyncio.get_running_loop()
        until = loop.time() + int(query['wait_ms']) / 1000
        while True:
            found = [
                event
                for event in self.events
                if event['revision'] > after
                and event['key'].startswith(prefix)
            ]
            left_s = until - loop.time()
            if found or left_s <= 0:
                return 200, {'events': found, 'at': self.revision}
            changed = self._changed
            try:
                async with asyncio.timeout(left_s):
                    await changed.wait()
            except TimeoutError:
                continue
