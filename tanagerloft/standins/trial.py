"""Instance and stand-ins in one process, on loopback."""

import logging
import threading

from tanagerloft.config import inventory as inventory_lib
from tanagerloft.config import settings as settings_lib
from tanagerloft.config import store
from tanagerloft.server import http_server
from tanagerloft.server import instance as instance_lib
from tanagerloft.standins import engine
from tanagerloft.standins import platform
from tanagerloft.standins import service
from tanagerloft.standins import weights
from tanagerloft.util import ids

logger = logging.getLogger(__name__)

KEY = "trial-key"
MODEL = "harness-questions"
_MEMORY_MB = 80_000
_READY_TIMEOUT_MS = 10_000
_HOST = "127.0.0.1"
_SETTINGS = """
[instance]
id = trial
data_centre = loopback
address = 127.0.0.1:{port}
peer_address = 127.0.0.1:0
[platform]
table_url = http://127.0.0.1:{platform_port}/
instances_url = http://127.0.0.1:{platform_port}/instances
[server]
lame_duck_ms = 0
"""


def make_inventory(
    engine_port: int, service_port: int
) -> inventory_lib.Inventory:
    """Returns the inventory of the trial."""
    targets = (
        inventory_lib.Target(
            "engine-1",
            f"http://{_HOST}:{engine_port}",
            "engine",
            "loopback",
            _MEMORY_MB,
            checks_fencing=True,
        ),
        inventory_lib.Target(
            "records-1", f"http://{_HOST}:{service_port}", "service", "loopback"
        ),
    )
    models = (
        inventory_lib.Model(MODEL, "1", 3_000, 3_500),
        inventory_lib.Model("clause-review", "1", 14_000, 16_000),
    )
    return inventory_lib.Inventory(
        targets={target.name: target for target in targets},
        models={model.name: model for model in models},
        adapters={"roofers": inventory_lib.Adapter("roofers", MODEL, "1", 100)},
        routes={
            "certificates": inventory_lib.Route(
                "certificates",
                "/certificates",
                ("records-1",),
                idempotent=False,
                tokens=1,
            ),
            "current": inventory_lib.Route(
                "current", "/current", ("records-1",), open=True
            ),
        },
        accounts={
            "trial": inventory_lib.Account("trial", 10_000, 100_000),
        },
        keys={
            "trial": inventory_lib.Key("trial", "trial", ids.sha256_hex(KEY)),
        },
        classes={
            "default": inventory_lib.RequestClass("default", 30_000),
        },
    )


class Trial:
    """A whole deployment in one process."""

    def __init__(self, port: int):
        self._requested_port = port
        self._servers: list[http_server.HttpServer] = []
        self._instance: instance_lib.Instance | None = None
        self.port = 0
        self.platform = platform.PlatformStandin()
        self.service = service.ServiceStandin()
        self.weights = weights.WeightsStandin()
        self.engine: engine.EngineStandin | None = None

    def start(self, stop: threading.Event) -> None:
        """Starts all parts and waits until requests can be admitted.

        Args:
            stop: Ends the wait when it is set.

        Raises:
            net.errors.ListenError: The port is in use.
        """
        platform_port = self._serve(self.platform)
        service_port = self._serve(self.service)
        inventory = make_inventory(0, service_port)
        self.engine = engine.EngineStandin(
            _MEMORY_MB, inventory_sizes(inventory), self.weights.load
        )
        engine_port = self._serve(self.engine)
        inventory = make_inventory(engine_port, service_port)
        store.apply(self.platform.table, inventory, 0)
        text = _SETTINGS.format(
            port=self._requested_port, platform_port=platform_port
        )
        settings = settings_lib.parse(text, "trial")
        assert isinstance(settings, settings_lib.Settings), settings
        self._instance = instance_lib.Instance(settings)
        self._instance.start()
        self._instance.wait_ready(_READY_TIMEOUT_MS, stop)
        self.port = self._instance.port

    def stop(self) -> None:
        """Stops all parts, the instance gracefully."""
        assert self._instance is not None
        self._instance.stop()
        for server in self._servers:
            server.stop()

    def instructions(self) -> str:
        """Returns a command for a newcomer to try."""
        body = (
            f'{{"model": "{MODEL}", "prompt": "How do I check a harness?",'
            ' "max_tokens": 20, "stream": true}'
        )
        return (
            "The model is not loaded; the first answer waits for the load."
            " Try in another terminal:\n\n"
            f"curl -N http://{_HOST}:{self.port}/v1/completions"
            f" -H 'Authorization: Bearer {KEY}' -d '{body}'\n\n"
            "Ctrl-C ends the trial."
        )

    def _serve(self, application) -> int:
        server = http_server.HttpServer(_HOST, 0, application, threads=32)
        self._servers.append(server)
        return server.start()


def inventory_sizes(
    inventory: inventory_lib.Inventory,
) -> dict[str, tuple[int, int]]:
    """Returns size and load peak of all models and adapters."""
    sizes = {
        model.name: (model.size_mb, model.load_peak_mb)
        for model in inventory.models.values()
    }
    for adapter in inventory.adapters.values():
        sizes[adapter.name] = (adapter.size_mb, adapter.size_mb)
    return sizes
