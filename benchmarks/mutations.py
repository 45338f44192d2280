"""Guards of the product, each with the change that removes it.

`docs/proofs.md` names them; `python -m benchmarks.mutants` shows that the
proof of each guard fails without it.
"""

import attrs


@attrs.frozen
class Mutation:
    """The removal of one guard.

    Args:
        name: word by which `docs/proofs.md` names it.
        path: source file, from the root of the repository.
        old: text that stands exactly once in the file.
        new: text in its place.
    """

    name: str
    path: str
    old: str
    new: str


_CLAIMS = 'catkinshunt/claims/_ledger.py'
_DOCUMENT = 'catkinshunt/claims/_document.py'
_ATTEMPTS = 'catkinshunt/claims/_attempts.py'
_ONCE = 'catkinshunt/entry/_at_most_once.py'
_DELIVERY = 'catkinshunt/entry/_delivery.py'
_RELAY = 'catkinshunt/entry/_relay.py'
_LINES = 'catkinshunt/entry/_lines.py'
_HEALTH = 'catkinshunt/routing/_health.py'
_FORWARD = 'catkinshunt/sidecar/_forward.py'
_SIDECAR = 'catkinshunt/sidecar/_app.py'
_STORE = 'catkinshunt/weights/_store.py'
_SLOT = 'catkinshunt/engines/_weights_endpoint.py'
_LOAD_ORDER = 'catkinshunt/spread/_load_order.py'

MUTATIONS = (
    # At most once.
    Mutation(
        'grant-once',
        _DOCUMENT,
        'elif stored.attempt == record.attempt:',
        'elif True:',
    ),
    Mutation(
        'key-of-another-request',
        _DOCUMENT,
        'if stored.digest != record.digest:',
        'if False:',
    ),
    Mutation(
        'unknown-stays-unknown',
        _DOCUMENT,
        'state = base.State.UNKNOWN',
        'state = base.State.GRANTED',
    ),
    Mutation(
        'old-claims-kept',
        _DOCUMENT,
        'if compacted_state is not None:',
        'if False:',
    ),
    Mutation(
        'full-shard-refuses',
        _DOCUMENT,
        'if needed > self.limit_bytes:',
        'if False:',
    ),
    Mutation(
        'damaged-claims-kept',
        _DOCUMENT,
        '            raise errors.StoreError(\n',
        '            return cls({}, {}, limit_bytes)\n'
        '            raise errors.StoreError(\n',
    ),
    Mutation(
        'release-of-own-attempt',
        _DOCUMENT,
        'stored is not None\n'
        '            and stored.attempt == attempt\n'
        '            and not stored.status',
        'stored is not None',
    ),
    Mutation(
        'read-back-after-lost-answer',
        _CLAIMS,
        'except (errors.ConflictError, errors.StoreUnknownError):\n'
        '                # Another',
        'except errors.ConflictError:\n                # Another',
    ),
    Mutation(
        'refused-claim-taken-back',
        _CLAIMS,
        'requeued.append(op.make_release())',
        'pass',
    ),
    Mutation(
        'late-write-fenced',
        'catkinshunt/claims/_batch.py',
        'document.changed = document.changed or self.fence',
        'pass',
    ),
    Mutation(
        'given-up-claim-taken-back',
        _CLAIMS,
        'if not op.resolve()',
        'if op.resolve() is None',
    ),
    Mutation(
        'shards-as-written',
        _CLAIMS,
        'return self._decode_shard_count(entry.value)',
        'return self.shards',
    ),
    Mutation(
        'outcome-kept-in-outage',
        _CLAIMS,
        'requeued = list(batch.completion_ops)',
        'requeued = []',
    ),
    Mutation(
        'pause-in-outage',
        _CLAIMS,
        'if 0 < self._outage_until - now <= self.outage_pause_s:',
        'if False:',
    ),
    Mutation(
        'claim-before-dispatch',
        _ONCE,
        'if req.idempotent or not req.idempotency_key:',
        'if True:',
    ),
    Mutation(
        'release-only-if-not-run',
        _ONCE,
        "if exc.ran == 'no':",
        'if True:',
    ),
    Mutation(
        'attempt-passes-once',
        _ATTEMPTS,
        'if attempt in self._expiry_by_attempt:',
        'if False:',
    ),
    Mutation(
        'late-attempt-refused',
        _ATTEMPTS,
        'if now >= expires_at:',
        'if False:',
    ),
    Mutation(
        'deadline-before-dispatch',
        _FORWARD,
        'if expired or time.time() >= self.req.not_after:',
        'if False:',
    ),
    Mutation(
        'retry-only-harmless',
        'catkinshunt/retries/_policy.py',
        "if exc.ran != 'no' and not idempotent:",
        'if False:',
    ),
    Mutation(
        'retry-budget',
        'catkinshunt/retries/_budget.py',
        'enough = available >= 1 + reserve',
        'enough = True',
    ),
    Mutation(
        'retries-kept-for-moves',
        'catkinshunt/retries/_policy.py',
        'self.budget.try_take(self.reserve if is_overload else 0.0)',
        'self.budget.try_take()',
    ),
    Mutation(
        'retries-shared-by-number',
        'catkinshunt/retries/_shares.py',
        'return max(1.0, self.burst / processes)',
        'return self.burst',
    ),
    Mutation(
        'smaller-burst-binds',
        'catkinshunt/retries/_budget.py',
        'return min(self.burst, self._tokens)',
        'return self._tokens',
    ),
    # Queues past capacity.
    Mutation(
        'various-deadlines-are-no-return',
        'catkinshunt/dispatch/_client_retry.py',
        'timeouts.max_share >= self.constant_share',
        'True',
    ),
    Mutation(
        'learnt-delay-corrects',
        'catkinshunt/dispatch/_correction.py',
        'return predicted_s * self.scale(now)',
        'return predicted_s',
    ),
    # Weights on their way.
    Mutation(
        'one-member-stands-in',
        'catkinshunt/spread/_fetcher.py',
        'return self._failed_attempts[index] >= members * self._min_attempts',
        'return True',
    ),
    Mutation(
        'owners-pass-on-less',
        'catkinshunt/spread/_plan.py',
        'owned[m.name] * per_owned_chunk',
        '0',
    ),
    Mutation(
        'who-begins-late-says-so',
        'catkinshunt/spread/_chunk_server.py',
        "[(UNABLE_HEADER, '1')]",
        '[]',
    ),
    Mutation(
        'narrow-links-give-nothing',
        'catkinshunt/spread/_source_speeds.py',
        'and present_share < SLOW_LINK_RATIO * median',
        'and False',
    ),
    Mutation(
        'idle-sources-relieve',
        'catkinshunt/spread/_fetcher.py',
        'return longest if len(longest) >= MIN_STEALABLE else []',
        'return []',
    ),
    Mutation(
        'members-stay-known',
        'catkinshunt/platform/_store_view.py',
        'if self._members_read_at is None:\n                raise',
        'raise',
    ),
    Mutation(
        'failed-transfer-pauses',
        'catkinshunt/spread/_agent.py',
        'elif self.clock() < self._retry_at:',
        'elif False:',
    ),
    Mutation(
        'dead-sources-are-asked-after-a-pause',
        'catkinshunt/spread/_fetcher.py',
        """if self._health.is_excluded(source):
            # Without""",
        """if False:
            # Without""",
    ),
    Mutation(
        'reader-without-proof-is-left',
        'catkinshunt/watch_relay/_regional.py',
        'if now - page.confirmed_at >= STALE_S:',
        'if False:',
    ),
    Mutation(
        'one-reader-for-all-regions',
        'catkinshunt/watch_relay/_watchers.py',
        'if remote is not None:',
        'if False:',
    ),
    Mutation(
        'whoever-is-turned-away-asks-others',
        'catkinshunt/watch_relay/_watchers.py',
        'if now < self._source_failed_until:',
        'if False:',
    ),
    Mutation(
        'region-out-of-reach-is-paused',
        'catkinshunt/watch_relay/_watchers.py',
        'self._pause(_REGIONS_KEY, now)',
        'pass',
    ),
    Mutation(
        'proofs-are-told-at-once',
        'catkinshunt/watch_relay/_server.py',
        'or cache.confirmed_at > confirmed_at',
        '',
    ),
    Mutation(
        'reader-tells-only-what-it-knows',
        'catkinshunt/watch_relay/_watch_cache.py',
        'return after >= self._compacted_revision',
        'return True',
    ),
    Mutation(
        'values-in-between-are-skipped',
        'catkinshunt/watch_relay/_regional.py',
        'if self._large_value_at is not None:',
        'if False:',
    ),
    Mutation(
        'deletions-show-in-a-read',
        'catkinshunt/watch_relay/_watch_cache.py',
        'return deleted + [',
        'return [',
    ),
    Mutation(
        'processes-choose-in-various-orders',
        'catkinshunt/dispatch/_choice.py',
        '_score(self.name, found.upstream.id),',
        '0,',
    ),
    Mutation(
        'various-chunks-go-out-first',
        'catkinshunt/spread/_chunk_store.py',
        'index = min(available, key=lambda index: self._served_counts[index])',
        'index = available[0]',
    ),
    Mutation(
        'door-closes-sooner-behind-chunks',
        'catkinshunt/spread/_agent.py',
        'expires_in_s -= LINK_QUEUE_S',
        'pass',
    ),
    Mutation(
        'first-configuration-is-waited-for',
        'catkinshunt/gateway/_exchange.py',
        'await self._wait_for_configuration(now)',
        'pass',
    ),
    Mutation(
        'version-is-checked-after-the-wait',
        'catkinshunt/gateway/_attempt.py',
        'if selection.is_outdated(upstream, 0.0):',
        'if False:',
    ),
    Mutation(
        'waiting-in-a-circle-ends',
        'catkinshunt/spread/_fetcher.py',
        'if self._break_wait_cycles(source, queue):',
        'if False:',
    ),
    Mutation(
        'first-source-keeps-its-chunks',
        'catkinshunt/spread/_fetcher.py',
        'if source != sources[0] or self._may_use_origin(',
        'if True or self._may_use_origin(',
    ),
    Mutation(
        'deletions-are-handed-on',
        'catkinshunt/watch_relay/_watch_cache.py',
        'self._tombstones[item.key] = item',
        'pass',
    ),
    Mutation(
        'unread-answers-prove-nothing',
        'catkinshunt/watch_relay/_peer.py',
        'confirmed_at=sent_after - relayed.confirmed_ago_s',
        'confirmed_at=self.wall() - relayed.confirmed_ago_s',
    ),
    Mutation(
        'readers-that-start-are-waited-for',
        'catkinshunt/watch_relay/_regional.py',
        'if self.wall() - self._started_at < START_RETRY_PERIOD_S:',
        'if False:',
    ),
    Mutation(
        'names-are-as-old-as-the-reader-knows',
        'catkinshunt/watch_relay/_watch_cache.py',
        'changed_after=self._current_until(after),',
        'changed_after=self.confirmed_at,',
    ),
    Mutation(
        'origin-is-shown-alone',
        'catkinshunt/platform/_store_view.py',
        'await self._read_published_origin()\n                or await',
        'await',
    ),
    Mutation(
        'leaves-are-of-the-start-before-a-suspend',
        'catkinshunt/availability/_gossip.py',
        '_parse_message(message, self.wake_log.arrived_after(now))',
        '_parse_message(message, now)',
    ),
    Mutation(
        'leaves-are-of-the-start-that-answered',
        'catkinshunt/gateway/_context.py',
        'self.record_leave(upstream.key, sent_at)',
        'self.record_leave(upstream.key, self.boot_clock())',
    ),
    Mutation(
        'limits-are-asked-for-again',
        'catkinshunt/rate_limits/_gossip.py',
        'self._must_ask_again = was_suspended',
        'self._must_ask_again = False',
    ),
    Mutation(
        'removals-count-from-the-last-confirmation',
        'catkinshunt/platform/_cache_updater.py',
        'removed_after = self.catalog.confirmed_at',
        'removed_after = self.boottime()',
    ),
    # No request begins on a version too old.
    Mutation(
        'versions-count-from-the-last-confirmation',
        'catkinshunt/platform/_cache_updater.py',
        'await self._apply_item(item, changed_after)',
        'await self._apply_item(item, now)',
    ),
    Mutation(
        'confirmations-come-often',
        'catkinshunt/watch_relay/_regional.py',
        'wait_s = min(wait_s, SOURCE_WAIT_S)',
        'pass',
    ),
    Mutation(
        'pending-versions-need-a-recent-mark',
        'catkinshunt/catalog/_catalog.py',
        'return now - marked_at > self.pending_trust_s',
        'return False',
    ),
    Mutation(
        'suspended-sidecars-end-a-version',
        'catkinshunt/platform/_store_view.py',
        'return self.wake_log.arrived_after(self.boottime())',
        'return self.boottime()',
    ),
    Mutation(
        'version-found-at-start-ends-one',
        'catkinshunt/platform/_store_view.py',
        'due_at += self.version_grace_s',
        'due_at = math.inf',
    ),
    Mutation(
        'versions-expire-in-a-suspend',
        'catkinshunt/platform/_sidecar.py',
        'permits.PermitServer(permits.PermitAllocator(), _clocks.boottime)',
        'permits.PermitServer(permits.PermitAllocator(), _clocks.monotonic)',
    ),
    Mutation(
        'sidecar-ends-a-version',
        'catkinshunt/permits/_allocator.py',
        'if now + request.prefill_s >= self._expires_at:',
        'if False:',
    ),
    Mutation(
        'no-request-without-news',
        'catkinshunt/gateway/_attempt.py',
        'if selection.may_miss_version(self.asked_at):',
        'if False:',
    ),
    Mutation(
        'failover-beside-a-pending-version',
        'catkinshunt/gateway/_selection.py',
        'min_version = self._min_version(now, version_lead_s)',
        'min_version = self._min_version(now + version_lead_s)',
    ),
    Mutation(
        'silent-sidecars-need-news',
        'catkinshunt/gateway/_permit_search.py',
        'if self.selection.may_miss_version(lead_s=NO_PERMIT_VERSION_LEAD_S):',
        'if False:',
    ),
    Mutation(
        'silent-sidecars-end-a-version-sooner',
        'catkinshunt/gateway/_permit_search.py',
        'if self.selection.is_outdated(upstream, NO_PERMIT_VERSION_LEAD_S):',
        'if False:',
    ),
    # Entries that are listed.
    Mutation(
        'vanished-entry-is-listed-again',
        'catkinshunt/platform/_registration.py',
        'and self.live_entries.has(self.name)',
        '',
    ),
    # A refusal that says "not run" is true.
    Mutation(
        'unknown-not-turned-into-not-run',
        _DELIVERY,
        "if exc.ran == 'no' and self._may_have_run:",
        'if False:',
    ),
    Mutation(
        'unseen-record-promises-nothing',
        _CLAIMS,
        'return errors.RecordUnavailableError(',
        'return errors.RefusedError(',
    ),
    Mutation(
        'store-unknown-told-apart',
        'catkinshunt/kvstore/_http.py',
        '            if not outcome_known:\n'
        '                error_class = errors.StoreUnknownError\n',
        '',
    ),
    # The whole answer to its own request.
    Mutation(
        'reply-names-exchange',
        _RELAY,
        'if echoed == exchange_id:',
        'if True:',
    ),
    Mutation(
        'no-bytes-before-request',
        'catkinshunt/httpio/_client.py',
        'if conn is None or not _is_readable(conn.sock):',
        'if True:',
    ),
    Mutation(
        'stream-has-end-line',
        _LINES,
        'if not self.done or self._partial_line:',
        'if False:',
    ),
    Mutation(
        'stream-in-order',
        _LINES,
        'if self.done or index != self.next_index:',
        'if False:',
    ),
    Mutation(
        'half-line-dropped',
        _LINES,
        'before resuming the stream."""\n        self._partial_line = b\'\'\n',
        'before resuming the stream."""\n',
    ),
    Mutation(
        'stream-of-one-version',
        _DELIVERY,
        'if open_resp.model_version != version:',
        'if False:',
    ),
    Mutation(
        'answer-of-routed-version',
        _FORWARD,
        'if self.req.version and answered_version != self.req.version:',
        'if False:',
    ),
    Mutation(
        'model-served-here',
        _SIDECAR,
        "if version is None or req.version not in ('', version):",
        'if False:',
    ),
    # No partial or mixed weights.
    Mutation(
        'chunk-digest',
        'catkinshunt/weights/_manifest.py',
        'if hashlib.sha256(data).hexdigest() != self.chunks[index]:',
        'if False:',
    ),
    Mutation(
        'whole-digest',
        _STORE,
        'if self._hash.hexdigest() == self.manifest.digest:',
        'if True:',
    ),
    Mutation(
        'superseded-chunks-dropped',
        _STORE,
        '        self._chunks.clear()\n',
        '',
    ),
    Mutation(
        'superseded-transfer-cancelled',
        'catkinshunt/weights/_agent.py',
        '                self._cancel()\n            self._target = target\n',
        '                pass\n            self._target = target\n',
    ),
    Mutation(
        'takeover-without-stampede',
        'catkinshunt/weights/_origin_fetches.py',
        'if fetch.origin_allowed_at > now:',
        'if False:',
    ),
    # Leaving and dead upstreams, planned stops.
    Mutation(
        'leaving-seen-in-reply',
        _HEALTH,
        'if observation.state == base.State.LEAVING:',
        'if False:',
    ),
    Mutation(
        'one-probe',
        _HEALTH,
        '_Record()).probing = True',
        '_Record()).probing = False',
    ),
    Mutation(
        'entry-finishes-requests',
        'catkinshunt/entry/_process.py',
        '        self._server.join(self.cfg.stop_timeout_s)\n',
        '',
    ),
    Mutation(
        'sidecar-finishes-requests',
        'catkinshunt/sidecar/_process.py',
        '        self._app.admission.join(self.cfg.stop_timeout_s)\n'
        '        self._server.join(self.cfg.stop_timeout_s)\n',
        '',
    ),
    # Configuration and instance list.
    Mutation(
        'revision-only-rises',
        'catkinshunt/configuration/_replica.py',
        'if configuration.revision <= self._current.revision:',
        'if False:',
    ),
    Mutation(
        'old-configuration-denies-nothing',
        'catkinshunt/gateway/_admission.py',
        'if not catalog.can_trust_absence(now):',
        'if False:',
    ),
    Mutation(
        'proof-of-one-part',
        'catkinshunt/watch_relay/_watch_cache.py',
        'self._confirm((prefix,), page, now)',
        'self._confirm(tuple(self._revisions), page, now)',
    ),
    Mutation(
        'second-read-told-as-changes',
        'catkinshunt/watch_relay/_watch_cache.py',
        'if prefix in self._revisions:',
        'if False:',
    ),
    Mutation(
        'newest-only-after-a-lost-reader',
        'catkinshunt/watch_relay/_regional.py',
        'if self._has_large_value(page):\n            self._large_value_at =',
        'if False:\n            self._large_value_at =',
    ),
    Mutation(
        'list-only-rises',
        'catkinshunt/instances/_directory.py',
        'if listing.revision <= before.revision:',
        'if False:',
    ),
    Mutation(
        'update-leads-to-its-digest',
        'catkinshunt/configuration/_updates.py',
        'if (updated.revision, updated.digest) != (update.revision, '
        'update.digest):',
        'if False:',
    ),
    Mutation(
        'edit-found-by-id',
        'catkinshunt/configuration/_editor.py',
        'if current.find_edit(edited.edits[-1].edit_id) is not None:',
        'if False:',
    ),
    Mutation(
        'edit-at-expected-revision',
        'catkinshunt/configuration/_editor.py',
        'if expected_revision not in (None, current.revision):',
        'if False:',
    ),
    Mutation(
        'several-peers-at-start',
        'catkinshunt/dissemination/_disseminator.py',
        'START_PEERS = 3',
        'START_PEERS = 1',
    ),
    Mutation(
        'deputy-takes-over',
        'catkinshunt/dissemination/_watch_election.py',
        'if not self.peer_health.is_unresponsive(name)',
        'if True',
    ),
    # Requests that crash their upstreams.
    Mutation(
        'barred-request-refused',
        'catkinshunt/gateway/_quarantine_check.py',
        'if left_s > 0:',
        'if False:',
    ),
    Mutation(
        'shared-parts-are-suspected',
        'catkinshunt/gateway/_quarantine_check.py',
        'tuple(map(quarantine.part_fingerprint, self.prompt_parts)),',
        '(),',
    ),
    Mutation(
        'retry-asks-the-guard',
        'catkinshunt/gateway/_quarantine_check.py',
        'self._unchecked_upstreams.append(upstream)',
        'pass',
    ),
    Mutation(
        'checked-after-the-connect',
        'catkinshunt/gateway/_attempt.py',
        'self.exchange.quarantine_check.begin()',
        'pass',
    ),
    Mutation(
        'own-part-is-not-shared',
        'catkinshunt/platform/_dialect.py',
        'last = ids.pop() if ids else None',
        'last = None',
    ),
    Mutation(
        'unreadable-parts-left-out',
        'catkinshunt/platform/_dialect.py',
        'ids.append(match and match[1])',
        'ids.append(match[1])',
    ),
    Mutation(
        'cut-stream-is-a-broken-connection',
        'catkinshunt/gateway/_relay.py',
        'error = ConnectionLostError',
        'pass',
    ),
    Mutation(
        'close-is-no-completion',
        'catkinshunt/gateway/_relay.py',
        'self.ended_at_close = part.at_close',
        'pass',
    ),
    Mutation(
        'no-head-in-a-head',
        'catkinshunt/http1/_client.py',
        'if _HTTP_NAME in text and _STATUS_LINE.search(text):',
        'if False:',
    ),
    Mutation(
        'no-head-in-a-skipped-body',
        'catkinshunt/http1/_client.py',
        'if _STATUS_LINE.search(data):',
        'if False:',
    ),
    Mutation(
        'single-use-after-foreign-bytes',
        'catkinshunt/http1/_pool.py',
        'conn.idle_since >= self.single_use_until',
        'True',
    ),
    Mutation(
        'reply-states-its-request',
        'catkinshunt/gateway/_relay.py',
        'if not self._is_own(reply_info):',
        'if False:',
    ),
    Mutation(
        'success-is-signed',
        'catkinshunt/gateway/_reply_check.py',
        'if 200 <= head.status < 300 and not reply_info.is_signed:',
        'if False:',
    ),
    Mutation(
        'nothing-follows-a-reply',
        'catkinshunt/gateway/_relay.py',
        'if self.conn.is_end_doubtful:',
        'if False:',
    ),
    Mutation(
        'empty-stream-is-broken-off',
        'catkinshunt/gateway/_relay.py',
        'if self.ended_at_close and not self._client_has_event():',
        'if False:',
    ),
    Mutation(
        'crashes-are-pooled',
        'catkinshunt/quarantine/_gossip.py',
        'self._fan_out(report)',
        'pass',
    ),
    Mutation(
        'crash-told-from-a-reset',
        'catkinshunt/quarantine/_guard.py',
        'if not await self.is_down(upstream.address):',
        'if False:',
    ),
    Mutation(
        'offender-explains-its-crashes',
        'catkinshunt/quarantine/_causes.py',
        'if not others or (',
        'if True or (',
    ),
    Mutation(
        'alike-suspects-run-by-turns',
        'catkinshunt/quarantine/_admission.py',
        'return 0.0 if ahead == 0 else',
        'return 0.0 if True else',
    ),
    Mutation(
        'completion-clears',
        'catkinshunt/quarantine/_records.py',
        'suspect = self.suspects.pop(request, None)',
        'suspect = None',
    ),
    Mutation(
        'most-suspected-paused',
        'catkinshunt/quarantine/_admission.py',
        'left_s = suspect.last_crash_at + pause_s - now',
        'left_s = 0.0',
    ),
    Mutation(
        'pause-doubles',
        'catkinshunt/quarantine/_admission.py',
        'PAUSE_S * 2**doublings)',
        'PAUSE_S)',
    ),
    Mutation(
        'suspects-run-apart',
        'catkinshunt/permits/_allocator.py',
        'return is_isolated and self._isolated_key in self._granted',
        'return False',
    ),
    Mutation(
        'suspects-are-reminded',
        'catkinshunt/quarantine/_gossip.py',
        'for crash, run_s in self.random.sample(crashes, count):',
        'for crash, run_s in []:',
    ),
    Mutation(
        'starters-ask-for-suspects',
        'catkinshunt/quarantine/_gossip.py',
        'self._send_state(host, self.clock())',
        'pass',
    ),
    Mutation(
        'missed-completion-is-corrected',
        'catkinshunt/quarantine/_gossip.py',
        'self._correct(report, traits, host)',
        'pass',
    ),
    Mutation(
        'part-refused',
        'catkinshunt/quarantine/_guard.py',
        'for trait in traits:\n            left_s',
        'for trait in (traits.whole,):\n            left_s',
    ),
    Mutation(
        'crashes-of-a-part-add-up',
        'catkinshunt/quarantine/_records.py',
        'self._add_suspect(part, crash, now, is_part=True)',
        'pass',
    ),
    Mutation(
        'requests-do-not-excuse-their-part',
        'catkinshunt/quarantine/_causes.py',
        'if not _is_covered(other, suspect, crash):',
        'if True:',
    ),
    Mutation(
        'part-tried-before-it-is-blamed',
        'catkinshunt/quarantine/_causes.py',
        'if suspect.is_part and self._count_tried_alone(suspect) < MIN_TRIED:',
        'if False:',
    ),
    Mutation(
        'explained-part-is-served',
        'catkinshunt/quarantine/_admission.py',
        'and not self._causes.is_dominated(suspect, traits)',
        'and True',
    ),
    Mutation(
        'refused-part-stays-refused',
        'catkinshunt/quarantine/_causes.py',
        'if suspect.was_unexplained:',
        'if False:',
    ),
    Mutation(
        'requests-together-release-no-part',
        'catkinshunt/quarantine/_causes.py',
        'covered = found if covered is None else covered & found',
        'covered = found',
    ),
    Mutation(
        'explained-trial-does-not-delay',
        'catkinshunt/quarantine/_admission.py',
        'other.unexplained >= suspect.unexplained',
        'False',
    ),
    Mutation(
        'trial-is-told',
        'catkinshunt/quarantine/_gossip.py',
        'self._fan_out(_messages.Trial(request, tuple(parts)))',
        'pass',
    ),
    Mutation(
        'retry-waits-for-the-crash',
        'catkinshunt/quarantine/_guard.py',
        'await asyncio.wait([task])',
        'pass',
    ),
    Mutation(
        'starters-are-reminded',
        'catkinshunt/quarantine/_gossip.py',
        'self._send(_messages.Quarantined(request, left_s), host)',
        'pass',
    ),
    Mutation(
        'bars-kept-in-the-store',
        'catkinshunt/platform/_cache_updater.py',
        '            if item.key.startswith(_documents.QUARANTINE_PREFIX):\n'
        '                _apply',
        '            if False:\n                _apply',
    ),
    Mutation(
        'limit-is-recorded',
        'catkinshunt/gateway/_context.py',
        'self.record_rate_limit(upstream.key, per_s, sent_at)',
        'pass',
    ),
    Mutation(
        'leave-is-recorded',
        'catkinshunt/gateway/_context.py',
        'if reply_info.is_leaving:',
        'if False:',
    ),
    Mutation(
        'back-off-is-recorded',
        'catkinshunt/gateway/_context.py',
        'if reply_info.back_off_s is not None:',
        'if False:',
    ),
    Mutation(
        'availability-asked-before-the-send',
        'catkinshunt/gateway/_attempt.py',
        'if not selection.is_available(upstream):',
        'if False:',
    ),
    Mutation(
        'leaves-are-forwarded',
        'catkinshunt/availability/_gossip.py',
        'if self.table.record_leave(key, leave):\n            self.announce',
        'if self.table.record_leave(key, leave):\n            str',
    ),
    Mutation(
        'leave-outlasts-a-lapse',
        'catkinshunt/availability/_table.py',
        'for key in (*restarted, *oldest):',
        'for key in unlisted:',
    ),
    Mutation(
        'leave-outlasts-an-older-list',
        'catkinshunt/catalog/_catalog.py',
        'elif self._leaves.get(upstream.id) == upstream.key:',
        'elif False:',
    ),
    Mutation(
        'contradicted-leave-is-told',
        'catkinshunt/platform/_cache_updater.py',
        'self.record_leave(upstream.key)',
        'pass',
    ),
    Mutation(
        'removal-outlasts-an-older-list',
        'catkinshunt/catalog/_catalog.py',
        'doubted is None or now >= self._doubted_until',
        'True',
    ),
    Mutation(
        'earlier-start-is-doubted',
        'catkinshunt/catalog/_catalog.py',
        'return is_earlier or upstream.key == doubted',
        'return upstream.key == doubted',
    ),
    Mutation(
        'era-starts-the-cache-anew',
        'catkinshunt/watch_relay/_watch_cache.py',
        'self.era = page.revision.era\n            self._clear()',
        'self.era = page.revision.era',
    ),
    Mutation(
        'older-era-is-dropped',
        'catkinshunt/watch_relay/_watch_cache.py',
        'return page.revision.era < self.era',
        'return False',
    ),
    Mutation(
        'watch-ends-with-its-era',
        'catkinshunt/platform/_store.py',
        'self._check_era(after)\n        if era',
        'if era',
    ),
    Mutation(
        'late-answers-are-refused',
        'catkinshunt/platform/_store.py',
        'if head.status == 200 and era < (self.eras.era or 0):',
        'if False:',
    ),
    Mutation(
        'lease-ends-with-its-era',
        'catkinshunt/platform/_store.py',
        'if lease is not None and era is not None and era > lease.era:',
        'if False:',
    ),
    Mutation(
        'new-era-is-read-through-the-watcher',
        'catkinshunt/watch_relay/_regional.py',
        'self.watchers.resume()',
        'pass',
    ),
    Mutation(
        'lost-entries-count-on',
        'catkinshunt/platform/_cache_updater.py',
        'self.live_entries.replace({**kept, **listed})',
        'self.live_entries.replace(listed)',
    ),
    Mutation(
        'lost-pending-key-holds',
        'catkinshunt/platform/_cache_updater.py',
        'elif (model, version) not in self._kept_pending:',
        'else:',
    ),
    Mutation(
        'due-version-stays-due',
        'catkinshunt/catalog/_catalog.py',
        'and not announced.is_due',
        '',
    ),
    Mutation(
        'pending-key-is-removed',
        'catkinshunt/platform/_pending_publisher.py',
        'await self.client.remove(key)',
        'pass',
    ),
    Mutation(
        'paused-pending-key-is-removed',
        'catkinshunt/platform/_pending_publisher.py',
        'if lease is not None:',
        'if False:',
    ),
    Mutation(
        'slow-grants-are-asked-for-again',
        'catkinshunt/platform/_pending_publisher.py',
        'margin_s = 2 * (self.boottime() - asked_at)',
        'return None',
    ),
    Mutation(
        'each-pending-version-is-marked',
        'catkinshunt/platform/_pending_publisher.py',
        'for model, announced in self.catalog.announced_versions():',
        'for model, announced in self.catalog.announced_versions()[-1:]:',
    ),
    Mutation(
        'suspects-kept-in-the-store',
        'catkinshunt/platform/_cache_updater.py',
        'elif first and item.key.startswith(',
        'elif False and item.key.startswith(',
    ),
    Mutation(
        'suspects-cost-few-writes',
        'catkinshunt/platform/_suspect_publisher.py',
        'return writes < MAX_WRITES\n',
        'return True\n',
    ),
    Mutation(
        'lost-keys-are-written-again',
        'catkinshunt/platform/_quarantine_publisher.py',
        'self._published_until.clear()',
        'pass',
    ),
    Mutation(
        'leaving-engine-gets-no-permits',
        'catkinshunt/permits/_allocator.py',
        'if self._leaving_started_at_ms is not None:\n'
        '            return [self._reject_leaving(key)]',
        'if False:\n            return [self._reject_leaving(key)]',
    ),
    Mutation(
        'leaving-engine-gets-no-orders',
        'catkinshunt/spread/_agent.py',
        'if report.is_leaving:',
        'if False:',
    ),
    Mutation(
        'no-calls-in-a-back-off',
        'catkinshunt/platform/_engine.py',
        'self._check_back_off(method, path)',
        'pass',
    ),
    Mutation(
        'leave-has-no-timer',
        _HEALTH,
        'if view.state is base.State.LEAVING:\n            return False',
        'if view.state is base.State.LEAVING:\n            return now > 30',
    ),
    Mutation(
        'sidecar-heeds-back-offs',
        _FORWARD,
        'self.status.check_back_off(',
        'str(',
    ),
    Mutation(
        'tokens-are-used',
        'catkinshunt/rate_limits/_bucket.py',
        'self.tokens -= 1',
        'pass',
    ),
    Mutation(
        'limit-is-shared',
        'catkinshunt/rate_limits/_limiter.py',
        'return per_s / holders, 0.0',
        'return per_s, 0.0',
    ),
    Mutation(
        'few-entries-share',
        'catkinshunt/rate_limits/_limiter.py',
        'if index < holders:',
        'if True:',
    ),
    Mutation(
        'end-needs-a-later-request',
        'catkinshunt/rate_limits/_table.py',
        'if per_s > known.per_s and sent_at <= known.stated_at:',
        'if False:',
    ),
    Mutation(
        'lower-limit-wins',
        'catkinshunt/rate_limits/_table.py',
        'return limit.version, -limit.per_s',
        'return limit.version, 0.0',
    ),
    Mutation(
        'limits-are-reminded',
        'catkinshunt/rate_limits/_gossip.py',
        'self._send(_make_message(key, limit, now), host)',
        'pass',
    ),
    Mutation(
        'limits-are-announced',
        'catkinshunt/rate_limits/_gossip.py',
        'self._fan_out(_make_message(key, limit, self.clock()))',
        'pass',
    ),
    # In time and fair.
    Mutation(
        'refused-at-once-if-late',
        'catkinshunt/limits/_fair.py',
        '        if late_s > 0:\n            raise self._rejection(',
        '        if False:\n            raise self._rejection(',
    ),
    # Bad input, and who gives orders.
    Mutation(
        'peer-shows-key',
        'catkinshunt/peers/_server.py',
        'if not hmac.compare_digest(presented_key, self.key.encode()):',
        'if False:',
    ),
    Mutation(
        'entry-shows-key',
        _SIDECAR,
        'if not hmac.compare_digest(given, self.cfg.deployment_key.encode()):',
        'if False:',
    ),
    Mutation(
        'chunks-need-key',
        'catkinshunt/weights/_app.py',
        'if not hmac.compare_digest(given, self.key.encode()):',
        'if False:',
    ),
    Mutation(
        'path-escaped',
        'catkinshunt/httpio/_wsgi.py',
        "target = urllib.parse.quote(path.encode('latin-1'), _PATH_CHARS)",
        'target = path',
    ),
    Mutation(
        'deep-json-refused',
        'catkinshunt/checks.py',
        'except RecursionError as exc:',
        'except ZeroDivisionError as exc:',
    ),
    # Orders to engines.
    Mutation(
        'weights-behind-own-token',
        _SLOT,
        'parts[0].encode(), self._token.encode()',
        'parts[0].encode(), parts[0].encode()',
    ),
    Mutation(
        'engine-asked',
        'catkinshunt/sidecar/_placement.py',
        'if self._served.items() <= engine_versions.items():',
        'if True:',
    ),
    Mutation(
        'staged-comparison-recent',
        _LOAD_ORDER,
        'now - self._compared_at <= MAX_AGE_AT_ORDER_S',
        'True',
    ),
    Mutation(
        'late-acceptance-checked',
        _LOAD_ORDER,
        'and self._accepted_at - self._compared_at <= MAX_BAD_S',
        'and True',
    ),
    Mutation(
        'damaged-version-closed',
        'catkinshunt/spread/_agent.py',
        'expires_in_s = -math.inf',
        'pass',
    ),
    Mutation(
        'members-read-again',
        'catkinshunt/spread/_plan.py',
        'len(named) < MIN_GROWTH * len(known)',
        'known',
    ),
    Mutation(
        'few-added-members-ignored',
        'catkinshunt/spread/_plan.py',
        'MIN_GROWTH = 1.5',
        'MIN_GROWTH = 1.0',
    ),
    Mutation(
        'origin-asked',
        'catkinshunt/spread/_agent.py',
        'target = self._origin_query.find_target()',
        'target = None',
    ),
    Mutation(
        'newest-version-confirmed',
        'catkinshunt/spread/_origin_query.py',
        'manifest = await self.origin.manifest(model, version)',
        'manifest = await self.origin.manifest(model, 1)',
    ),
    Mutation(
        'loop-started-again',
        'catkinshunt/platform/_background.py',
        'except Exception:',
        'except ZeroDivisionError:',
    ),
    Mutation(
        'models-of-own-service',
        'catkinshunt/platform/_store_view.py',
        'if len(announced) < 2:',
        'if True:',
    ),
    # Callers that send too much.
    Mutation(
        'sum-over-connections',
        'catkinshunt/callers/_budget.py',
        'if self.used_bytes > self.memory_bytes and now >= self._reclaim_at:',
        'if False:',
    ),
    Mutation(
        'most-byte-seconds-first',
        'catkinshunt/callers/_budget.py',
        '        candidates.sort()\n',
        '        candidates.sort(reverse=True)\n',
    ),
    Mutation(
        'idle-connection-closed',
        'catkinshunt/callers/_budget.py',
        '(conn.is_unused, -conn.since)',
        'conn.since',
    ),
    Mutation(
        'requests-parsed-in-slices',
        'catkinshunt/http1/_request_parser.py',
        'SLICE_BYTES = 1024',
        'SLICE_BYTES = 1024 * 1024',
    ),
    Mutation(
        'request-gives-up-its-turn',
        'catkinshunt/http1/_server.py',
        '            await asyncio.sleep(0)\n',
        '            pass\n',
    ),
)
