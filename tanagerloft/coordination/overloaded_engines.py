"""Detects engines whose rate limit is below the demand for their models."""

from __future__ import annotations

from collections.abc import Mapping
import logging

from tanagerloft.coordination import engine_states
from tanagerloft.coordination import targets as targets_lib
from tanagerloft.decisions import engine_limits

logger = logging.getLogger(__name__)


class OverloadedEngines:
    """Engines whose rate limit is below the demand for their models.

    Args:
        states: States of the engines.
        directory: Target directory.

    Attributes:
        target_ids: Names of these engines.
    """

    def __init__(
        self,
        states: engine_states.EngineStates,
        directory: targets_lib.TargetDirectory,
    ):
        self._states = states
        self._directory = directory
        self.target_ids: frozenset[str] = frozenset()

    def update(self, recent: Mapping[str, float]) -> None:
        """Compares limits with demand.

        Args:
            recent: Requests of the last seconds, by model.
        """
        entries = self._directory.entries
        short = frozenset(
            target_id
            for target_id, state in self._states.by_target.items()
            if target_id in entries
            and engine_limits.is_limit_below_demand(
                state.orders.usable(),
                self._directory.feedback.limit_per_s(entries[target_id]),
                recent,
            )
        )
        if short != self.target_ids:
            logger.info(
                "engines that take too little", extra={"engines": sorted(short)}
            )
        self.target_ids = short
