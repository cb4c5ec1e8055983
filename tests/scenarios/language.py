"""The scenario language: one step per line, run against a fleet.

A step consists of a verb, names, and ``field=value`` pairs; ``#`` starts a
comment. A step ``some-verb`` is run by the method ``_do_some_verb``.
``docs/scenarios.md`` lists the steps.
"""

from concurrent import futures
import json
import shlex
import signal

from tanagerloft.config import inventory as inventory_lib
from tanagerloft.config import store
from tests.support import fleet as fleet_lib

_SENDER_THREADS = 32


class Step:
    """A parsed step.

    Attributes:
        verb: Verb.
        names: Words without ``=`` after the verb.
        fields: Values by field name.
    """

    def __init__(self, line: str):
        words = shlex.split(line, comments=True)
        self.verb = words[0]
        self.names = [word for word in words[1:] if "=" not in word]
        pairs = [word.split("=", 1) for word in words[1:] if "=" in word]
        self.fields = dict(pairs)

    def number(self, field: str, default: int) -> int:
        """Returns a field as an integer."""
        return int(self.fields.get(field, default))


class Scenario:
    """Runs the steps of one file.

    Args:
        directory: Directory for the files of the fleet.
    """

    def __init__(self, directory):
        self._directory = directory
        self._fleet: fleet_lib.Fleet | None = None
        self._executor = futures.ThreadPoolExecutor(_SENDER_THREADS)
        self._sent: dict[str, list[futures.Future]] = {}
        self._responses: dict[str, list[fleet_lib.Response]] = {}

    def run(self, text: str) -> None:
        """Runs all steps; the error of a failed step names its line.

        Raises:
            AssertionError: If a step fails.
        """
        try:
            for number, line in enumerate(text.splitlines(), start=1):
                if not line.strip() or line.lstrip().startswith("#"):
                    continue
                step = Step(line)
                method = getattr(self, f"_do_{step.verb.replace('-', '_')}")
                try:
                    method(step)
                except AssertionError as error:
                    message = f"line {number}: {line}\n{error}"
                    raise AssertionError(message) from error
        finally:
            if self._fleet is not None:
                self._fleet.close()
            self._executor.shutdown(wait=True, cancel_futures=True)

    def _do_fleet(self, step: Step) -> None:
        settings = {k: v for k, v in step.fields.items() if "." in k}
        size_mb = step.number("size_mb", 2_000)
        peak_mb = size_mb * 11 // 10
        arguments = shlex.split(step.fields.get("engine", ""))
        self._fleet = fleet_lib.Fleet(
            self._directory,
            step.number("instances", 3),
            step.number("engines", 2),
            settings,
            tuple(arguments),
            checks_fencing="--ignore-fencing" not in arguments,
            classes=(
                inventory_lib.RequestClass(
                    "default", step.number("deadline_ms", 60_000)
                ),
            ),
            accounts=(
                inventory_lib.Account(
                    "quito",
                    step.number("rate", 100_000),
                    step.number("burst", 1_000_000),
                ),
                inventory_lib.Account("limon", 100_000, 1_000_000),
            ),
            models=tuple(
                inventory_lib.Model(f"model-{n}", "1", size_mb, peak_mb)
                for n in range(6)
            ),
        )
        self._fleet.__enter__()

    # Requests.

    def _do_send(self, step: Step) -> None:
        """Sends completion requests in the background."""

        def call():
            return self._fleet.complete(
                step.fields["at"],
                step.fields.get("model", "model-0"),
                fleet_lib.KEYS.get(step.fields.get("key", "quito"), "none"),
                step.number("tokens", 5),
                step.fields.get("stream", "yes") == "yes",
                prompt=step.fields.get("prompt", "Is it safe?"),
            )

        self._submit(step, call)

    def _do_pay(self, step: Step) -> None:
        """Sends non-idempotent requests in the background."""

        def call():
            body = json.dumps({"body": step.fields.get("body", "")}).encode()
            return self._fleet.pay(step.fields["at"], step.fields["id"], body)

        self._submit(step, call)

    def _do_get(self, step: Step) -> None:
        """Sends requests to a public route in the background."""

        def call():
            headers = {}
            if "key" in step.fields:
                headers["Authorization"] = f"Bearer {step.fields['key']}"
            return self._fleet.request(
                step.fields["at"], "GET", step.fields["path"], headers
            )

        self._submit(step, call)

    def _submit(self, step: Step, call) -> None:
        started = [
            self._executor.submit(call) for _ in range(step.number("times", 1))
        ]
        self._sent.setdefault(step.names[0], []).extend(started)

    def _do_await(self, step: Step) -> None:
        for name in step.names:
            self._responses[name] = [f.result() for f in self._sent[name]]

    def _do_expect(self, step: Step) -> None:
        """Expects that all responses of a name have the given fields."""
        name = step.names[0]
        if name not in self._responses:
            self._do_await(step)
        for response in self._responses[name]:
            self._check(response, step.fields)

    def _do_expect_some(self, step: Step) -> None:
        """Expects that exactly ``count`` responses have the given fields."""
        fields = dict(step.fields)
        expected = int(fields.pop("count"))
        responses = self._responses[step.names[0]]
        matching = [r for r in responses if _matches(r, fields)]
        assert len(matching) == expected, responses

    def _do_expect_at_most(self, step: Step) -> None:
        """Expects that at most ``count`` responses of all names match."""
        fields = dict(step.fields)
        max_count = int(fields.pop("count"))
        self._do_await(step)
        responses = [r for name in step.names for r in self._responses[name]]
        matching = [r for r in responses if _matches(r, fields)]
        assert len(matching) <= max_count, len(matching)

    def _do_expect_refused(self, step: Step) -> None:
        """Expects that incomplete responses match, and that there are some."""
        self._do_await(step)
        responses = self._responses[step.names[0]]
        refused = [
            response for response in responses if not response.is_complete
        ]
        assert refused, "none was refused"
        for response in refused:
            self._check(response, step.fields)

    def _do_same(self, step: Step) -> None:
        """Expects that all responses of all names have the same body."""
        bodies = {
            response.body
            for name in step.names
            for response in self._responses[name]
        }
        assert len(bodies) == 1, bodies

    def _check(
        self, response: fleet_lib.Response, fields: dict[str, str]
    ) -> None:
        assert _matches(response, fields), response

    def _do_eventually(self, step: Step) -> None:
        """Sends requests until a response has the given fields."""
        fields = dict(step.fields)
        at, key = fields.pop("at"), fields.pop("key", "quito")
        model = fields.pop("model", "model-0")

        def matches():
            response = self._fleet.complete(at, model, fleet_lib.KEYS[key])
            return _matches(response, fields)

        self._fleet.eventually(matches)

    # Processes and faults.

    def _do_kill(self, step: Step) -> None:
        self._signal(step, signal.SIGKILL)
        for name in step.names:
            self._fleet.wait_ended(name)

    def _do_freeze(self, step: Step) -> None:
        self._signal(step, signal.SIGSTOP)

    def _do_thaw(self, step: Step) -> None:
        self._signal(step, signal.SIGCONT)

    def _do_stop(self, step: Step) -> None:
        self._signal(step, signal.SIGTERM)

    def _signal(self, step: Step, number: int) -> None:
        for name in step.names:
            self._fleet.signal(name, number)

    def _do_ended(self, step: Step) -> None:
        for name in step.names:
            assert self._fleet.wait_ended(name) == step.number("code", 0)

    def _do_start(self, step: Step) -> None:
        for name in step.names:
            self._fleet.restart(name)

    def _do_fault(self, step: Step) -> None:
        faults = {k: json.loads(v) for k, v in step.fields.items()}
        for name in step.names:
            self._fleet.fault(name, **faults)

    def _do_listed(self, step: Step) -> None:
        for name in step.names:
            self._fleet.set_listed_state(name, step.fields["state"])

    # Operators.

    def _do_withdraw(self, step: Step) -> None:
        self._change_keys(lambda keys: keys.pop(step.names[0]))

    def _change_keys(self, edit) -> None:
        table = self._fleet.table()
        number = store.read_number(table)
        inventory = store.read(table, number).inventory
        keys = dict(inventory.keys)
        edit(keys)
        result = store.apply(table, inventory._replace(keys=keys), number)
        assert isinstance(result, store.Version), result

    def _do_race(self, step: Step) -> None:
        """Applies a change of one version concurrently; one is accepted."""
        number = store.read_number(self._fleet.table())
        inventory = self._fleet.inventory

        def apply(_index):
            return store.apply(self._fleet.table(), inventory, number)

        results = list(
            self._executor.map(apply, range(step.number("operators", 4)))
        )
        accepted = [r for r in results if isinstance(r, store.Version)]
        refused = [r for r in results if not isinstance(r, store.Version)]
        assert len(accepted) == 1, results
        assert {r.code for r in refused} == {"conflict"}, results
        assert {r.version_in_force for r in refused} == {number + 1}, results

    def _do_in_force(self, _step: Step) -> None:
        """Waits until the accepted version is in force on running instances."""
        self._fleet.wait_in_force()

    def _do_shares_spread(self, _step: Step) -> None:
        """Waits until all instances hold shares of each account's limit."""
        self._fleet.wait_shares_spread()

    def _do_lagging(self, step: Step) -> None:
        """Waits until ``tanagerloft status`` lists just these as lagging."""
        expected = [name for name in step.names if name != "none"]
        self._fleet.eventually(lambda: self._fleet.lagging() == expected)

    # Counters of the stand-ins.

    def _do_runs(self, step: Step) -> None:
        """Expects how often the service ran each given request."""
        counts = self._fleet.get("service-1", "/counts")
        for request, expected in step.fields.items():
            assert counts.get(request, 0) == int(expected), counts

    def _do_loads(self, step: Step) -> None:
        """Expects how often all engines together loaded each given model."""
        for model, expected in step.fields.items():
            counts = [c["loads"].get(model, 0) for c in self._engine_counts()]
            assert sum(counts) == int(expected), counts

    def _do_unloaded(self, step: Step) -> None:
        """Waits until no engine holds the named models."""

        def is_on_no_engine(model):
            return all(model not in c["items"] for c in self._engine_counts())

        for model in step.names:
            self._fleet.eventually(lambda model=model: is_on_no_engine(model))

    def _do_no_violations(self, _step: Step) -> None:
        """Expects that no engine was overcommitted or received a key."""
        for counts in self._engine_counts():
            assert counts["violations"] == [], counts
            assert counts["requests_with_key"] == 0, counts

    def _engine_counts(self):
        return [
            self._fleet.get(name, "/counts")
            for name in self._fleet.engine_names()
        ]


def _matches(response: fleet_lib.Response, fields: dict[str, str]) -> bool:
    seen = {
        "status": str(response.status),
        "reason": response.reason,
        "run": response.run,
        "whole": "yes" if response.is_complete else "no",
        "retry_after": "yes" if "retry-after" in response.headers else "no",
    }
    return all(seen[name] == value for name, value in fields.items())
