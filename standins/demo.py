"""Runs both deployments on stand-ins, with faults: ``make demo``.

For each deployment a new model version is published to every runner that a
rule names, while callers of all accounts ask and book. Meanwhile a runner
and an entry are killed and the key-value service is away. The last line for
each deployment is one JSON object with what was measured.
"""

import json
import sys
import threading
import time

import attrs
import fire

from catkinshunt import configuration
from catkinshunt import errors
from catkinshunt import kvstore
from catkinshunt import rules
from standins import callers
from standins import deployment
from standins import launch
from standins import scene

FIRST = 'v1'
SECOND = 'v2'
ROLLOUT_TIMEOUT_S = 25.0
_POLL_S = 0.05
_MIB = 1 << 20


@attrs.frozen
class Timeline:
    """When each fault begins, in seconds after the new version is named.

    None leaves a fault out.
    """

    calm_s: float = 1.0
    runner_killed_s: float = 0.5
    store_down_s: float = 0.8
    entry_killed_s: float | None = 1.2
    store_up_s: float = 4.0
    end_s: float = 5.0


class Demo:
    """One deployment from start to report.

    Args:
        deployed: a `deployment.Deployment`.
        timeline: a `Timeline`.
        program: words that start the product.
        logs: folder for the processes' log lines, or None.
    """

    def __init__(self, deployed, timeline, program, logs=None):
        self.deployed = deployed
        self.timeline = timeline
        self.program = program
        self.logs = logs
        self._failures = []

    def run(self):
        """Return the report as a mapping."""
        with launch.Launcher(self.program, self.logs) as launcher:
            self._say('starting stand-ins and processes')
            self._scene = scene.Scene(self.deployed, launcher).start()
            self._say(f'placing {self.deployed.model} {FIRST}')
            self._name_version(FIRST)
            wanted = len(self._scene.model_runners())
            self._wait_for(FIRST, wanted)
            balancer = callers.Balancer(self._scene.addresses())
            called = callers.Callers(self.deployed, balancer)
            self._wait_for_entries(called)
            called.start()
            self._say('callers ask and book')
            time.sleep(self.timeline.calm_s)
            value = self._roll_out()
            called.stop()
            value |= called.report(self._scene.bookings())
            self._tell_failures(called.sent)
            return {'deployment': self.deployed.name} | value

    def _roll_out(self):
        """Name the new version, bring the faults, wait for N replicas."""
        place = self._scene
        origin_before = place.origin_bytes()
        links_before = place.link_bytes()
        begin = time.monotonic()
        self._name_version(SECOND)
        self._say(f'new version {SECOND} is named')
        faults = threading.Thread(target=self._bring_faults, args=(begin,))
        faults.start()
        faults_over = begin + self.timeline.store_up_s
        taken_s, replicas = self._wait_for(
            SECOND, lambda: len(place.model_runners()), begin, faults_over
        )
        faults.join()
        time.sleep(max(0, begin + self.timeline.end_s - time.monotonic()))
        size = self.deployed.model_bytes
        link_s = size / self.deployed.link_bytes_per_s
        sent = place.origin_bytes() - origin_before
        return {
            'replicas': replicas,
            'replicas_wanted': len(place.model_runners()),
            'time_to_n_s': _rounded(taken_s),
            'link_time_ratio': _rounded(taken_s and taken_s / link_s),
            'origin_copies': _rounded(sent / size),
            'max_link_copies': self._max_link_copies(links_before),
        }

    def _bring_faults(self, begin):
        """Kill a runner and an entry and take the store away, in turn."""
        place, when = self._scene, self.timeline
        steps = [
            (when.runner_killed_s, self._replace_runner),
            (when.store_down_s, lambda: place.stop_key_value(True)),
            (when.entry_killed_s, place.kill_entry),
            (when.store_up_s, lambda: place.stop_key_value(False)),
        ]
        words = ['killed a runner', 'the key-value service is away']
        words += ['killed an entry', 'the key-value service is back']
        for (at_s, act), text in zip(steps, words, strict=True):
            if at_s is None:
                continue
            time.sleep(max(0, begin + at_s - time.monotonic()))
            act()
            self._say(text)

    def _replace_runner(self):
        """Kill a runner; the platform puts a new one in its place."""
        self._scene.kill_runner()
        service = self.deployed.model_service
        threading.Thread(
            target=self._scene.add_runner, args=(service,), daemon=True
        ).start()

    def _name_version(self, version):
        """Publish weights and accept rules that place them."""
        self._scene.publish(version)
        store = kvstore.HttpKeyValueStore(self._scene.store.address)
        rule_set = rules.load_rule_set(self.deployed.rules(version))
        configuration.Editor(store).apply(rule_set)

    def _wait_for(self, version, wanted, begin=None, not_before=0.0):
        """Wait until all wanted replicas serve; return time and number."""
        begin = begin or time.monotonic()
        shown = None
        while True:
            try:
                replicas = self._scene.replicas(version)
            except errors.RequestError:
                # A runner was killed between two looks.
                replicas = 0
            count = wanted() if callable(wanted) else wanted
            now = time.monotonic()
            if replicas != shown:
                self._say(f'{version}: {replicas} of {count} replicas')
                shown = replicas
            if replicas == count == self.deployed.model_service.runners:
                return now - begin, replicas
            if now - begin > ROLLOUT_TIMEOUT_S:
                return None, replicas
            time.sleep(_POLL_S)

    def _wait_for_entries(self, called):
        """Wait until each entry knows the runners of each service."""
        deadline = time.monotonic() + ROLLOUT_TIMEOUT_S
        for address in self._scene.addresses():
            while failures := called.probe(address):
                if time.monotonic() > deadline:
                    raise RuntimeError(
                        f'{address} does not answer: {", ".join(failures)}'
                    )
                time.sleep(_POLL_S)

    def _max_link_copies(self, before):
        """Return the most copies that one instance's link carried.

        Out of the instance as its link counted it, and one copy in: the
        links do not tell who receives.
        """
        after = self._scene.link_bytes()
        most = max(
            after[runner.name] - before.get(runner.name, 0)
            for runner in self._scene.model_runners()
        )
        return _rounded(most / self.deployed.model_bytes + 1)

    def _tell_failures(self, sent):
        kinds = {}
        for item in sent:
            if item.outcome in (callers.LOST, callers.WRONG):
                text = f'{item.outcome} {item.kind}: {item.detail}'
                kinds[text] = kinds.get(text, 0) + 1
        for text, count in sorted(kinds.items()):
            self._say(f'{count} x {text}')

    def _say(self, text):
        print(f'{self.deployed.name}: {text}', flush=True)


def is_good(value):
    """Return whether a report shows all that was wanted, and no harm."""
    short = value['replicas'] < value['replicas_wanted']
    harm = value['lost'] or value['doubled'] or value['wrong']
    return not short and not harm


def _rounded(value):
    return None if value is None else round(value, 2)


def run(*names, program=None, logs=None):
    """Run the demo of the deployments `names`, or of both.

    Args:
        names: thessalias, indus.
        program: path of a one-file build to run instead of the sources.
        logs: folder to keep the processes' log lines in.
    """
    words = [program] if program else launch.PROGRAM
    reports = []
    for name in names or deployment.NAMES:
        demo = Demo(deployment.load(name), Timeline(), words, logs)
        reports.append(demo.run())
        print(json.dumps(reports[-1]), flush=True)
    sys.exit(0 if all(map(is_good, reports)) else 1)


if __name__ == '__main__':
    fire.Fire(run)
