import collections
import random

from catkinshunt import catalog as catalogs
from catkinshunt import dispatch

ENGINE = catalogs.EngineProfile(
    slots=16,
    step_s=0.0093,
    prefill_tokens_per_s=20700.0,
    steps_per_pass=5,
    mean_prompt_tokens=979,
    mean_output_tokens=92,
)
REGIONS = {'a': 'east', 'b': 'west'}


def upstream(name, data_centre='a'):
    return catalogs.Upstream(
        name, 'engines', (name, 80), data_centre, slots=16
    )


def choose(upstreams, tracker, now=0.0, engine=ENGINE, avoid=()):
    chooser = dispatch.Chooser('a', REGIONS)
    job = dispatch.Job(1000, 90)
    return chooser.choose(upstreams, tracker, engine, job, now, avoid)


def fill(tracker, upstream, jobs, now=0.0, tokens=1000, reply_started=False):
    state = tracker.state(upstream)
    for _ in range(jobs):
        job = state.begin(dispatch.Job(tokens), now)
        job.reply_started = reply_started
    return state


def test_waiting_prompt_tokens_count_not_requests():
    """One engine prefills a long prompt, another has three short ones.

    By the number of requests the first has less load, but the wait for the
    first token would be five times as long.
    """
    first, second = upstream('u1'), upstream('u2')
    tracker = dispatch.UpstreamTracker()
    fill(tracker, first, 1, tokens=12000)
    fill(tracker, second, 3, tokens=300)
    assert choose([first, second], tracker).upstream is second


def test_engine_with_a_free_slot_is_preferred():
    first, second = upstream('u1'), upstream('u2')
    tracker = dispatch.UpstreamTracker()
    fill(tracker, first, 17, reply_started=True)
    fill(tracker, second, 15, reply_started=True)
    assert choose([first, second], tracker).upstream is second


def test_processes_without_load_data_choose_different_upstreams():
    """Without a tie-break per process, all would choose the first upstream."""
    listed = [upstream(f'u{number}') for number in range(30)]
    job = dispatch.Job(1000, 90)
    chosen = collections.Counter(
        dispatch.Chooser('a', REGIONS, f'entry-{number}')
        .choose(listed, dispatch.UpstreamTracker(), ENGINE, job, 0.0)
        .upstream.id
        for number in range(60)
    )
    assert len(chosen) >= 20
    assert max(chosen.values()) <= 8


def test_remote_upstream_is_chosen_only_when_faster():
    near, far = upstream('u1', 'a'), upstream('u2', 'b')
    tracker = dispatch.UpstreamTracker()
    fill(tracker, near, 1)
    assert choose([near, far], tracker).upstream is near
    fill(tracker, near, 5)
    assert choose([near, far], tracker).upstream is far


def test_reported_load_of_others_counts_until_it_expires():
    first, second = upstream('u1'), upstream('u2')
    tracker = dispatch.UpstreamTracker()
    tracker.state(first).report(dispatch.Load(14, 6, 16), now=0.0)
    assert choose([first, second], tracker, now=0.1).upstream is second
    # The report has expired.
    fill(tracker, second, 1, now=2.0)
    assert choose([first, second], tracker, now=2.0).upstream is first


def test_failing_upstream_gets_few_requests():
    """An upstream fails every other request but passes its health check.

    Since it fails at once, its load is always the least, and it would get most
    of the requests.
    """
    bad, good = upstream('u1'), upstream('u2')
    tracker = dispatch.UpstreamTracker()
    rng = random.Random(5)
    sent = []
    for step in range(200):
        now = step * 0.05
        found = choose([bad, good], tracker, now, engine=None)
        sent.append(found.upstream.id)
        if found.upstream is bad and rng.random() < 0.5:
            found.state.record_failure(now)
        else:
            found.state.record_success(now)
    assert sent.count('u1') < 30


def test_failure_rate_decays():
    state = dispatch.UpstreamState()
    for _ in range(20):
        state.record_failure(now=0.0)
    assert state.failure_rate(now=0.0) > 0.9
    assert state.failure_rate(now=20.0) < 0.05


def test_unresponsive_upstream_is_the_last_choice():
    """An upstream loses power; its connections stay open without data."""
    unresponsive, other = upstream('u1'), upstream('u2')
    tracker = dispatch.UpstreamTracker()
    fill(tracker, unresponsive, 1, now=0.0)
    fill(tracker, other, 20, now=1.0)
    assert choose([unresponsive, other], tracker, now=1.0).upstream is other
    assert choose([unresponsive], tracker, now=1.0).upstream is unresponsive


def test_unreachable_upstream_backs_off_exponentially():
    state = dispatch.UpstreamState()
    pauses = []
    for _ in range(5):
        state.record_refused_connection(now=0.0)
        pauses.append(state.paused_until)
    assert pauses == [0.4, 0.8, 1.6, 3.2, 4.0]


def test_avoided_upstream_is_not_chosen():
    first = upstream('u1')
    tracker = dispatch.UpstreamTracker()
    assert choose([first], tracker, avoid={first.key}) is None


def test_pause_for_loading_ends_when_versions_change():
    """An engine rejects requests while it drains before loading a version.

    Retrying it soon spends the retry budget on further rejections; a pause of
    fixed length leaves it idle after it has loaded.
    """
    state = dispatch.UpstreamState()
    state.pause(now=0.0, pause_s=2.5, versions={'drafts': 1})
    assert state.is_paused(now=1.0, versions={'drafts': 1})
    assert not state.is_paused(now=1.0, versions={'drafts': 2})
    assert not state.is_paused(now=3.0, versions={'drafts': 1})
