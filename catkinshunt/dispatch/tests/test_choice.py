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


def fill(tracker, upstream, jobs, now=0.0, tokens=1000, answering=False):
    state = tracker.state(upstream)
    for _ in range(jobs):
        job = state.begin(dispatch.Job(tokens), now)
        job.answering = answering
    return state


def test_prompts_that_wait_count_and_not_requests():
    """One engine reads a long prompt, another has three short ones.

    By number of requests the first looks emptier; its caller would wait
    five times as long for the first token.
    """
    first, second = upstream('u1'), upstream('u2')
    tracker = dispatch.UpstreamTracker()
    fill(tracker, first, 1, tokens=12000)
    fill(tracker, second, 3, tokens=300)
    assert choose([first, second], tracker).upstream is second


def test_a_full_engine_is_left_for_one_with_a_slot():
    first, second = upstream('u1'), upstream('u2')
    tracker = dispatch.UpstreamTracker()
    fill(tracker, first, 17, answering=True)
    fill(tracker, second, 15, answering=True)
    assert choose([first, second], tracker).upstream is second


def test_processes_that_know_nothing_do_not_choose_the_same_upstream():
    """Each sees few requests; all would crowd at the first that is listed."""
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


def test_work_stays_in_the_data_centre_until_that_costs_time():
    near, far = upstream('u1', 'a'), upstream('u2', 'b')
    tracker = dispatch.UpstreamTracker()
    fill(tracker, near, 1)
    assert choose([near, far], tracker).upstream is near
    fill(tracker, near, 5)
    assert choose([near, far], tracker).upstream is far


def test_work_that_others_sent_counts_while_it_is_news():
    first, second = upstream('u1'), upstream('u2')
    tracker = dispatch.UpstreamTracker()
    tracker.state(first).report(dispatch.Load(14, 6, 16), now=0.0)
    assert choose([first, second], tracker, now=0.1).upstream is second
    # After a second the report says nothing any more.
    fill(tracker, second, 1, now=2.0)
    assert choose([first, second], tracker, now=2.0).upstream is first


def test_an_upstream_that_fails_often_gets_little_work():
    """An upstream fails every other request while its health check is good.

    Failing at once it is always the emptiest, and would draw most requests.
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


def test_an_upstream_that_recovered_gets_work_again():
    state = dispatch.UpstreamState()
    for _ in range(20):
        state.record_failure(now=0.0)
    assert state.failure_rate(now=0.0) > 0.9
    assert state.failure_rate(now=20.0) < 0.05


def test_a_silent_upstream_gets_work_only_as_the_last():
    """An upstream loses its power; its connections stay open and silent."""
    dark, other = upstream('u1'), upstream('u2')
    tracker = dispatch.UpstreamTracker()
    fill(tracker, dark, 1, now=0.0)
    fill(tracker, other, 20, now=1.0)
    assert choose([dark, other], tracker, now=1.0).upstream is other
    assert choose([dark], tracker, now=1.0).upstream is dark


def test_an_upstream_that_cannot_be_reached_rests_longer_each_time():
    state = dispatch.UpstreamState()
    pauses = []
    for _ in range(5):
        state.back_off(now=0.0)
        pauses.append(state.paused_until)
    assert pauses == [0.4, 0.8, 1.6, 3.2, 4.0]


def test_what_was_tried_is_not_tried_again():
    first = upstream('u1')
    tracker = dispatch.UpstreamTracker()
    assert choose([first], tracker, avoid={first.key}) is None


def test_an_engine_that_loads_gets_work_as_soon_as_it_serves_again():
    """An engine refuses while it ends its answers before it loads.

    Asked again soon, it refuses again and spends the retry budget; left
    alone for a fixed time, it stands idle after it has loaded.
    """
    state = dispatch.UpstreamState()
    state.rest(now=0.0, pause_s=2.5, versions={'drafts': 1})
    assert state.is_paused(now=1.0, versions={'drafts': 1})
    assert not state.is_paused(now=1.0, versions={'drafts': 2})
    assert not state.is_paused(now=3.0, versions={'drafts': 1})
