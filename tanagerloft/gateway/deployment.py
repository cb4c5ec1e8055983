"""Interface to the platform on which an instance is deployed."""

from __future__ import annotations

from collections.abc import Callable
from typing import NamedTuple

from tanagerloft.coordination import configuration as configuration_lib
from tanagerloft.coordination import engine_states
from tanagerloft.coordination import order_sender
from tanagerloft.coordination import store as store_lib
from tanagerloft.coordination import target_entries
from tanagerloft.gateway import codec as codec_lib
from tanagerloft.net import connection_pool


class Deployment(NamedTuple):
    """Drivers, tables and paths of one deployment.

    Attributes:
        codec: Protocol of callers and targets.
        store: The store.
        configuration_table: Table of the operator's row.
        configuration_key: Key of the operator's row.
        targets_table: Table in which targets register themselves.
        decode_configuration: Decodes the operator's row.
        decode_entry: Decodes a target's row.
        send_order: Sends an order to an engine.
        fetch_report: Requests the state of an engine.
        ready_path: Path of the readiness check.
        metrics_path: Path of the metrics.
    """

    codec: codec_lib.Codec
    store: store_lib.Store
    configuration_table: str
    configuration_key: str
    targets_table: str
    decode_configuration: configuration_lib.Decode
    decode_entry: target_entries.DecodeEntry
    send_order: order_sender.SendOrder
    fetch_report: engine_states.FetchReport
    ready_path: bytes
    metrics_path: bytes


Build = Callable[[connection_pool.Pool, tuple[str, int], str], Deployment]
