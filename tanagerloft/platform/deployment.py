"""Assembles the drivers of the users' platform."""

from tanagerloft import registry as registry_lib
from tanagerloft.gateway import deployment
from tanagerloft.net import connection_pool
from tanagerloft.platform import configuration
from tanagerloft.platform import engine_client
from tanagerloft.platform import entries
from tanagerloft.platform import requests
from tanagerloft.platform import store
from tanagerloft.platform import wire


def setup(registry: registry_lib.Registry) -> None:
    """Registers the deployment."""
    registry.add("deployment", "users", build)


def build(
    pool: connection_pool.Pool,
    store_address: tuple[str, int],
    instance: str,
) -> deployment.Deployment:
    """Builds the drivers of the users' platform.

    Args:
        pool: Connections.
        store_address: Host and port of the store.
        instance: Name of this instance.
    """
    client = engine_client.EngineClient(pool, instance)
    return deployment.Deployment(
        codec=requests.PlatformCodec(),
        store=store.Store(pool, store_address),
        configuration_table=wire.OPERATOR_TABLE,
        configuration_key=wire.CONFIGURATION_KEY,
        targets_table=wire.TARGETS_TABLE,
        decode_configuration=configuration.decode,
        decode_entry=entries.decode_entry,
        send_order=client.send_order,
        fetch_report=client.fetch_report,
        ready_path=wire.READY_PATH,
        metrics_path=wire.METRICS_PATH,
    )
