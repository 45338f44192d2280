"""Stand-in of the platform's metadata store, as PROTOCOL.md describes it."""

import asyncio
import base64
import json

from review.rig import wire

#: The operator and the runners may write these; the system may not.
FOREIGN = ('op/', 'servers/')


class Store:
    """Keys with revisions, watches and leases.

    Attributes:
        revisions: (revision, time) of each write, for records.
    """

    def __init__(self):
        self.items = {}
        self.events = []
        self.revision = 1
        self._leases = {}
        self._lease = 70000
        self._changed = asyncio.Event()

    async def start(self, host, port):
        """Listen on an address; return self."""
        self.server = await wire.serve(self._answer, host, port)
        return self

    def put(self, key, document):
        """Write a JSON document, as the operator and the runners do."""
        self._write(key, json.dumps(document).encode(), 0)

    def remove(self, key):
        """Remove a key."""
        if self.items.pop(key, None) is not None:
            self.revision += 1
            self.events.append(
                {'key': key, 'revision': self.revision, 'deleted': True}
            )
            self._notify()

    def _write(self, key, value, lease):
        self.revision += 1
        created = self.items.get(key, {}).get('created', self.revision)
        item = {
            'key': key,
            'data': base64.b64encode(value).decode(),
            'revision': self.revision,
            'created': created,
            'lease': lease,
        }
        self.items[key] = item
        self.events.append(item)
        self._notify()

    def _notify(self):
        self._changed.set()
        self._changed = asyncio.Event()

    async def _answer(self, req):
        conn, query = req.conn, req.query
        if req.path == '/-/kv-key':
            item = self.items.get(query['key'])
            if item is None:
                await conn.reply_json({}, 404)
            else:
                await conn.reply_json({**item, 'at': self.revision})
        elif req.path == '/-/kv-range':
            await conn.reply_json(self._range(query))
        elif req.path == '/-/kv-watch':
            await conn.reply_json(await self._watch(query))
        elif req.path == '/-/kv-txn':
            await conn.reply_json(*self._change(req.json()))
        else:
            await conn.reply_json(*self._on_lease(req))

    def _range(self, query):
        prefix, after = query.get('path_prefix', ''), query.get('after', '')
        found = [
            item
            for key, item in sorted(self.items.items())
            if key.startswith(prefix) and key > after
        ]
        return {
            'entries': found[:500],
            'has_more': len(found) > 500,
            'at': self.revision,
        }

    async def _watch(self, query):
        prefix, after = query.get('path_prefix', ''), int(query['after'])
        loop = asyncio.get_running_loop()
        until = loop.time() + int(query['wait_ms']) / 1000
        while True:
            changed = self._changed
            found = [
                event
                for event in self.events
                if event['revision'] > after
                and event['key'].startswith(prefix)
            ]
            left_s = until - loop.time()
            if found or left_s <= 0:
                return {'events': found, 'at': self.revision}
            try:
                async with asyncio.timeout(left_s):
                    await changed.wait()
            except TimeoutError:
                continue

    def _change(self, document):
        for row in document.get('expected', ()):
            known = self.items.get(row['key'], {}).get('revision', 0)
            if known != row['revision']:
                return {'entries': []}, 412
        rows = document.get('write', ())
        keys = [row['key'] for row in rows] + document.get('remove', [])
        if any(key.startswith(FOREIGN) for key in keys):
            return {}, 403
        if any(
            row.get('lease') and row['lease'] not in self._leases
            for row in rows
        ):
            return {}, 404
        for row in rows:
            lease = row.get('lease') or 0
            self._write(row['key'], base64.b64decode(row['data']), lease)
        for key in document.get('remove', ()):
            self.remove(key)
        return {'revision': self.revision}, 200

    def _on_lease(self, req):
        if req.path == '/-/kv-lease':
            self._lease += 1
            ttl_ms = max(1000, req.json()['ttl_ms'])
            self._hold(self._lease, ttl_ms)
            return {'lease': self._lease, 'ttl_ms': ttl_ms}, 200
        lease = int(req.path.rpartition('/')[2])
        if lease not in self._leases:
            return {}, 404
        if req.path.startswith('/-/kv-lease-end/'):
            self._expire(lease)
            return {}, 200
        ttl_ms = self._leases[lease][0]
        self._hold(lease, ttl_ms)
        return {'ttl_ms': ttl_ms}, 200

    def _hold(self, lease, ttl_ms):
        if lease in self._leases:
            self._leases[lease][1].cancel()
        loop = asyncio.get_running_loop()
        timer = loop.call_later(ttl_ms / 1000, self._expire, lease)
        self._leases[lease] = (ttl_ms, timer)

    def _expire(self, lease):
        _, timer = self._leases.pop(lease)
        timer.cancel()
        held = [k for k, i in self.items.items() if i['lease'] == lease]
        for key in held:
            self.remove(key)
