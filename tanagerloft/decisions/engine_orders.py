"""Tracks the orders given to one engine and the state that they lead to.

Handles engines that leave orders unanswered and carry them out seconds later,
engines whose reports lag behind, and a lease holder that succeeds another one
whose last orders it doesn't know. An engine that is ordered to load more than
its capacity crashes, so whatever an order may load counts as held until a
report says otherwise.
"""

from __future__ import annotations

from tanagerloft.decisions import held_models
from tanagerloft.decisions import model_orders
from tanagerloft.decisions import order_progress as progress
from tanagerloft.fleet import types

# Maximum age of the state that a report shows.
REPORT_LAG_MS = 300
# Allowance for loads that take longer than computed.
_LOAD_MARGIN_MS = 30
# An unanswered order is sent again unchanged after this time. Only one of the
# two can be carried out, as both carry the same expected sequence number.
_RETRY_DELAY_MS = 300
# An engine whose orders are unknown is assumed to be loading for this long
# after its last report: the time of several lost reports.
_UNTRACKED_LOAD_MS = 2_000
# Estimated time left of a load that takes longer than it should.
_LATE_LOAD_MS = 500
# An engine that is busy with an unload is tried again after this time, which
# doubles up to the maximum with each refusal: the unload may wait seconds for
# running requests.
_BUSY_BACKOFF_MS = 40
_MAX_BUSY_BACKOFF_MS = 320
# Phases in which the engine is known to carry out an order.
_IN_PROGRESS = (
    progress.Phase.ACCEPTED,
    progress.Phase.LATE,
    progress.Phase.INHERITED,
)


class EngineOrders:
    """Orders to one incarnation of an engine.

    Args:
        models: Models with their adapters that its target entry lists.
        created_ms: Current reading of the clock.
    """

    def __init__(self, models: dict[str, frozenset[str]], created_ms: int = 0):
        self._held = held_models.HeldModels(models)
        self._pending: progress.PendingOrder | None = None
        self._last_completed: progress.PendingOrder | None = None
        self._awaiting_answer = False
        self._blocked = True
        self._blocked_since_ms: int | None = None
        self._reported_ms: int | None = None
        self._created_ms = created_ms
        self._unverified = True
        self._last_change_ms = -1
        self._previous_change_ms = -1
        self._next_order_ms = 0
        self._earliest_end_ms = 0
        self._busy_backoff_ms = _BUSY_BACKOFF_MS
        self._sequence = 0
        self.copies = model_orders.Copies(frozenset(), ())

    @property
    def sequence(self) -> int:
        """Number of orders that the engine is known to have accepted."""
        return self._sequence

    @property
    def known(self) -> bool:
        """Whether a report of the idle engine has shown what it holds."""
        return not self._blocked

    def may_load_untracked(self, now_ms: int) -> bool:
        """Returns whether the engine may be running a load that isn't tracked.

        A new lease holder doesn't know what its predecessor ordered. An engine
        that hasn't reported for a while no longer counts: it may be gone.
        """
        if not self._blocked or self._pending is not None:
            return False
        last_report_ms = self._created_ms
        if self._reported_ms is not None:
            last_report_ms = self._reported_ms
        return now_ms - last_report_ms < _UNTRACKED_LOAD_MS

    @property
    def loading(self) -> str:
        """Model that is being loaded, empty for none."""
        pending = self._pending
        if pending is None or not pending.is_load:
            return ""
        return pending.order.model

    def inherit_load(self, model: str, ordered_ms: int, due_ms: int) -> None:
        """Records a load that a previous lease holder has ordered.

        It lasts until a report shows that the engine has ended it.

        Args:
            model: The model.
            ordered_ms: Reading of the clock when it was ordered.
            due_ms: When it should be done.
        """
        self._earliest_end_ms = due_ms
        self._last_change_ms = ordered_ms
        self._pending = progress.PendingOrder(
            model_orders.Order(model_orders.Verb.LOAD, "", model),
            expected_sequence=0,
            duration_ms=due_ms - ordered_ms,
            due_ms=due_ms,
            phase=progress.Phase.INHERITED,
            retried=False,
        )

    def load_due_ms(self) -> int | None:
        """Returns when the load in progress should be done, None for none."""
        pending = self._pending
        if (
            pending is None
            or not pending.is_load
            or pending.phase not in _IN_PROGRESS
        ):
            return None
        return pending.due_ms

    def usable(self) -> held_models.Models:
        """Returns the models that requests can be sent to."""
        return self._held.usable()

    def held(self) -> held_models.Models:
        """Returns all models and adapters that may take memory."""
        held = self._held.all()
        if self._pending is not None:
            held.setdefault(self._pending.order.model, frozenset())
        return held

    def held_during(self, order: model_orders.Order) -> held_models.Models:
        """Returns what may take memory while an order is carried out.

        An order for a model is carried out only after those before it; an
        adapter can be loaded while an unload is still in progress.
        """
        held = self.held()
        if not order.adapter:
            return held
        return {**self._held.with_unloading(), **held}

    def busy(self, now_ms: int) -> bool:
        """Returns whether no order can be given now."""
        return (
            self._blocked
            or self._awaiting_answer
            or self._pending is not None
            or now_ms < self._next_order_ms
        )

    def busy_ms(self, now_ms: int) -> int:
        """Returns the estimated time until the engine can take an order.

        An order that is late is assumed to take as long again as it is late. An
        estimate of 0 would make all waiting models wait for this engine,
        however long it takes.
        """
        if self._pending is not None:
            late_ms = now_ms - min(self._pending.due_ms, self._earliest_end_ms)
            return max(self._pending.due_ms - now_ms, late_ms, 0)
        if self._blocked:
            if self._blocked_since_ms is None:
                self._blocked_since_ms = now_ms
            return now_ms - self._blocked_since_ms
        self._blocked_since_ms = None
        return max(0, self._next_order_ms - now_ms)

    def set_time_left(self, left_ms: float, now_ms: int) -> None:
        """Updates the time that the load in progress will still take."""
        pending = self._pending
        if pending is None or not pending.is_load:
            return
        if pending.phase in _IN_PROGRESS:
            due_ms = now_ms + int(left_ms) + _LOAD_MARGIN_MS
            self._pending = pending._replace(due_ms=due_ms)

    def next_change_in_ms(self, now_ms: int) -> int | None:
        """Returns the time until it may take an order, None if unknown."""
        pending = self._pending
        if pending is not None and pending.phase is progress.Phase.ACCEPTED:
            return max(0, pending.due_ms - now_ms)
        if now_ms < self._next_order_ms:
            return self._next_order_ms - now_ms
        return None

    def needs_report(self, now_ms: int) -> bool:
        """Returns whether a report could change the known state."""
        if (
            self._awaiting_answer
            or now_ms < self._last_change_ms + REPORT_LAG_MS
        ):
            return False
        pending = self._pending
        overdue = pending is not None and (
            pending.phase in (progress.Phase.UNANSWERED, progress.Phase.LATE)
            or now_ms >= min(pending.due_ms, self._earliest_end_ms)
        )
        return self._blocked or self._unverified or overdue

    def record_order(
        self, order: model_orders.Order, duration_ms: float, now_ms: int
    ) -> None:
        """Records an order that is about to be sent.

        The next order is given only after the answer to this one: queued orders
        would be based on a state that is out of date when they are sent.
        """
        self._awaiting_answer = True
        self._previous_change_ms = self._last_change_ms
        self._last_change_ms = now_ms
        self._held.on_order(order)
        if order.adapter:
            return
        expected_duration_ms = int(duration_ms) + (
            _LOAD_MARGIN_MS if duration_ms else 0
        )
        self._earliest_end_ms = now_ms + expected_duration_ms
        self._pending = progress.PendingOrder(
            order,
            self._sequence,
            expected_duration_ms,
            now_ms + expected_duration_ms,
            progress.Phase.SENT,
            retried=False,
        )

    def expected_sequence(self, order: model_orders.Order) -> int:
        """Returns the sequence number that an order sent now must carry."""
        pending = self._pending
        if pending is not None and pending.order == order:
            return pending.expected_sequence
        return self._sequence

    def start_retry(self, now_ms: int) -> model_orders.Order | None:
        """Returns the unanswered order, unchanged, if a retry is due."""
        pending = self._pending
        if pending is None or pending.phase is not progress.Phase.UNANSWERED:
            return None
        if now_ms < self._next_order_ms:
            return None
        self._pending = pending._replace(
            phase=progress.Phase.SENT, retried=True
        )
        self._awaiting_answer = True
        self._last_change_ms = now_ms
        return pending.order

    def on_answer(
        self,
        order: model_orders.Order,
        result: progress.Result,
        now_ms: int,
    ) -> None:
        """Updates the state from the answer to an order."""
        self._awaiting_answer = False
        self._last_change_ms = now_ms
        if order.adapter:
            self._on_adapter_answer(order, result)
            return
        pending = self._pending
        if pending is None or pending.order != order:
            return
        if result is progress.Result.ACCEPTED:
            self._busy_backoff_ms = _BUSY_BACKOFF_MS
            self._sequence = max(self._sequence, pending.expected_sequence + 1)
            self._held.finish_unloads(order.model)
            self._earliest_end_ms = now_ms + pending.duration_ms
            self._pending = pending._replace(
                phase=progress.Phase.ACCEPTED, due_ms=self._earliest_end_ms
            )
        elif result is progress.Result.HOLDS:
            self._complete(pending)
        elif result is progress.Result.UNKNOWN:
            self._pending = pending._replace(phase=progress.Phase.UNANSWERED)
            self._next_order_ms = now_ms + _RETRY_DELAY_MS
        else:
            self._on_refusal(pending, result, now_ms)

    def complete_due(self, now_ms: int) -> bool:
        """Completes an accepted order once its expected duration has passed.

        Reports lag behind, so completion isn't awaited; the engine answers a
        request that comes too early as not run.

        Returns:
            Whether what the engine holds has changed.
        """
        pending = self._pending
        if pending is None or pending.phase is not progress.Phase.ACCEPTED:
            return False
        if now_ms < pending.due_ms:
            return False
        self._complete(pending)
        self._last_change_ms = now_ms
        return True

    def on_report(self, report: types.TargetReport, requested_ms: int) -> str:
        """Updates the state from a report of the engine.

        The sequence number is taken over together with what the engine holds,
        or not at all: with a newer number alone, an order would be accepted for
        which there may be no capacity.

        Args:
            report: The report.
            requested_ms: Reading of the clock when it was requested.

        Returns:
            The model whose load turns out to take longer than it should, empty
            for none.
        """
        self._reported_ms = requested_ms
        observed_ms = requested_ms - REPORT_LAG_MS
        if self._awaiting_answer or observed_ms < self._last_change_ms:
            return ""
        self._sequence = max(self._sequence, report.order_sequence)
        self.copies = model_orders.Copies(report.in_memory, report.on_disk)
        if report.busy:
            return self._on_busy(report, requested_ms)
        self._on_idle(report, observed_ms)
        return ""

    def _on_busy(self, report: types.TargetReport, requested_ms: int) -> str:
        self._held.on_busy_report(report)
        if self._pending is not None:
            return ""
        completed = self._last_completed
        if (
            completed is None
            or not completed.is_load
            or completed.order.model in report.models
        ):
            self._blocked = True
            return ""
        # The load was completed too early.
        model = completed.order.model
        self._held.remove(model)
        due_ms = requested_ms + _LATE_LOAD_MS
        self._pending = completed._replace(
            phase=progress.Phase.LATE, due_ms=due_ms
        )
        return model

    def _on_idle(self, report: types.TargetReport, observed_ms: int) -> None:
        self._blocked = self._unverified = False
        self._held.on_idle_report(report)
        pending = self._pending
        if pending is None:
            return
        if pending.has_ended(report, self._sequence, observed_ms):
            self._pending = None
        elif not pending.is_load:
            self._held.mark_unloading(pending.order.model)

    def _complete(self, pending: progress.PendingOrder) -> None:
        self._pending = None
        self._unverified = True
        self._last_completed = pending
        if pending.is_load:
            model = pending.order.model
            self._held.add(model)
            self.copies = self.copies.with_load(model)

    def _on_refusal(
        self,
        pending: progress.PendingOrder,
        result: progress.Result,
        now_ms: int,
    ) -> None:
        self._pending = None
        self._unverified = True
        if not pending.is_load:
            self._held.cancel_unload(pending.order.model)
        if pending.retried:
            # The first copy of the order may have been accepted.
            self._blocked = True
            return
        # Nothing has changed: reports from before the order are still valid.
        self._last_change_ms = self._previous_change_ms
        if result is progress.Result.NOT_SENT:
            self._next_order_ms = now_ms + _RETRY_DELAY_MS
        elif (
            self._last_completed is not None
            and not self._last_completed.is_load
        ):
            self._next_order_ms = now_ms + self._busy_backoff_ms
            self._busy_backoff_ms = min(
                2 * self._busy_backoff_ms, _MAX_BUSY_BACKOFF_MS
            )
        else:
            self._blocked = True

    def _on_adapter_answer(
        self, order: model_orders.Order, result: progress.Result
    ) -> None:
        self._unverified = True
        if result not in (progress.Result.ACCEPTED, progress.Result.HOLDS):
            # The adapter counts as held until a report shows otherwise.
            self._blocked = True
            return
        is_unload = order.verb is model_orders.Verb.UNLOAD
        if result is progress.Result.ACCEPTED or is_unload:
            self._sequence += 1
        if is_unload:
            self._held.remove_adapter(order.model, order.adapter)
