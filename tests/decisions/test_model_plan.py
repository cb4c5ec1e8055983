"""Tests of tanagerloft.decisions.model_plan."""

from tanagerloft.decisions import model_catalog
from tanagerloft.decisions import model_orders
from tanagerloft.decisions import model_plan
from tanagerloft.fleet import types

_NO_ADAPTERS: frozenset[str] = frozenset()
_MB = 70_000.0
_CAPACITY_MB = 230_000.0
_MAX_ADAPTERS = 8
_NOW_MS = 100_000
_IDLE_STORE = model_orders.WeightStore(
    loads_left=10, under_way=0, concurrency=4
)


def _models(count: int) -> dict[str, types.Model]:
    return {
        f"m{n}": types.Model(f"m{n}", _MB, 6_000, 1_100, 1_400, 66.0, 0)
        for n in range(count)
    }


def _on_disk(*models: str) -> model_orders.Copies:
    return model_orders.Copies(_NO_ADAPTERS, models)


def _engine(name: str, models=(), **changes) -> model_orders.Engine:
    engine = model_orders.Engine(
        target_id=name,
        service="s",
        models=dict.fromkeys(models, _NO_ADAPTERS),
        loading="",
        busy=False,
        busy_ms=0,
        leaving=False,
        copies=_on_disk(*(f"m{n}" for n in range(20))),
        running={},
        slots=64,
        capacity_mb=_CAPACITY_MB,
        max_adapters=_MAX_ADAPTERS,
    )
    return engine._replace(**changes)


def _demand(
    model: str, adapter="", requests=1, objective=3_000, timeout=12_000
):
    return model_orders.Demand(
        model, adapter, (objective,) * requests, (timeout,) * requests
    )


def _usage(recent=None, last=None, unmet=None) -> model_orders.Usage:
    return model_orders.Usage(last or {}, recent or {}, {}, unmet or {})


def _planner(models: dict[str, types.Model]) -> model_plan.ModelPlanner:
    catalog = model_catalog.ModelCatalog()
    catalog.declare(models)
    return model_plan.ModelPlanner(catalog)


def _plan(engines, demands, usage=None, store=_IDLE_STORE, count=8):
    plan = _planner(_models(count))
    return plan.plan(engines, demands, usage or _usage(), store, _NOW_MS)


def test_a_waited_for_model_is_loaded_where_a_copy_is():
    engines = [_engine("a", copies=_on_disk()), _engine("b")]
    orders = _plan(engines, [_demand("m1")]).orders
    assert orders == [model_orders.Order(model_orders.Verb.LOAD, "b", "m1")]


def test_a_full_engine_evicts_the_least_recently_used_model():
    engine = _engine("a", ["m1", "m2", "m3"])
    last = {"m1": 90_000, "m2": 50_000, "m3": 80_000}
    orders = _plan([engine], [_demand("m4")], _usage(last=last)).orders
    assert orders == [model_orders.Order(model_orders.Verb.UNLOAD, "a", "m2")]


def test_a_model_that_is_waited_for_is_not_evicted():
    # Regression: a model was evicted right after it had been loaded, before the
    # waiting requests had reached it.
    engine = _engine("a", ["m1", "m2", "m3"])
    last = {"m1": 90_000, "m2": 50_000, "m3": 80_000}
    demands = [_demand("m4"), _demand("m2")]
    orders = _plan([engine], demands, _usage(last=last)).orders
    assert orders == [model_orders.Order(model_orders.Verb.UNLOAD, "a", "m3")]


def test_a_model_with_running_requests_is_not_evicted():
    engine = _engine("a", ["m1", "m2", "m3"], running={"m2": 1, "m3/a1": 1})
    orders = _plan([engine], [_demand("m4")]).orders
    assert orders == [model_orders.Order(model_orders.Verb.UNLOAD, "a", "m1")]


def test_the_last_replica_in_steady_use_is_not_evicted():
    engine = _engine("a", ["m1", "m2", "m3"], running={"m2": 1})
    recent = {"m1": 9.0, "m3": 0.1}
    orders = _plan([engine], [_demand("m4")], _usage(recent)).orders
    assert orders == [model_orders.Order(model_orders.Verb.UNLOAD, "a", "m3")]


def test_prefetch_does_not_evict_models_in_use():
    # Regression: before traffic began, the models that the platform had placed
    # for it were evicted for rare ones.
    engine = _engine("a", ["m1", "m2", "m3"], copies=_on_disk())
    recent = {"m1": 9.0, "m2": 9.0, "m3": 9.0}
    assert not _plan([engine], [], _usage(recent)).orders


def test_an_idle_engine_prefetches_a_model_without_a_copy():
    engine = _engine("a", ["m1"], copies=_on_disk("m0", "m2"))
    orders = _plan([engine], [], count=4).orders
    assert orders == [model_orders.Order(model_orders.Verb.LOAD, "a", "m3")]


def test_loads_from_the_store_respect_its_rate_limit():
    engine = _engine("a", copies=_on_disk())
    store = _IDLE_STORE._replace(loads_left=0)
    assert not _plan([engine], [_demand("m1")], store=store).orders


def test_store_loads_leave_engines_for_loads_from_copies():
    # Regression: engines that prefetched for six seconds each kept requests
    # waiting for models that load in a second and a half.
    some = _on_disk(*(f"m{n}" for n in range(3, 8)))
    engines = [_engine(name, copies=some) for name in ("a", "b", "c")]
    demands = [_demand("m1"), _demand("m2")]
    assert len(_plan(engines, demands).orders) == 1
    used = _usage(last={"m1": _NOW_MS})
    assert not _plan(engines, [], used).orders


def test_new_engines_load_from_the_store_concurrently():
    # Regression: after all engines had been replaced by new ones without
    # copies, only one of them loaded at a time.
    engines = [_engine(name, copies=_on_disk()) for name in "abcdef"]
    demands = [_demand(f"m{n}") for n in range(6)]
    planned = _plan(engines, demands)
    assert len(planned.orders) == _IDLE_STORE.concurrency
    later = sorted(planned.ready_in_ms.values())
    assert later[:4] == [6_000] * 4
    assert later[4:] == [12_000] * 2


def test_a_busy_model_whose_engines_leave_is_loaded_elsewhere():
    engines = [
        _engine("a", ["m1"], leaving=True),
        _engine("b", copies=_on_disk()),
    ]
    used = _usage({"m1": 9.0}, {"m1": _NOW_MS})
    orders = _plan(engines, [], used).orders
    assert orders == [model_orders.Order(model_orders.Verb.LOAD, "b", "m1")]


def test_a_replica_waits_for_the_engine_with_a_copy():
    engines = [
        _engine("a", ["m1"]),
        _engine("b", copies=_on_disk("m5", "m6", "m7")),
        _engine("c", busy=True, busy_ms=500),
    ]
    used = _usage({"m1": 9.0}, {"m1": _NOW_MS})
    assert not _plan(engines, [], used).orders


def test_requests_that_can_still_meet_their_objective_come_first():
    demands = [
        _demand("m1", objective=-500, timeout=8_000, requests=2),
        _demand("m2", objective=2_000),
    ]
    planned = _plan([_engine("a")], demands)
    assert planned.orders[0].model == "m2"
    assert planned.ready_in_ms["m1"] > planned.ready_in_ms["m2"]


def test_orders_never_exceed_the_adapter_capacity():
    # Regression: two adapters were ordered when there was capacity for one.
    adapters = frozenset(f"a{n}" for n in range(_MAX_ADAPTERS - 1))
    engine = _engine("a", models=[])
    engine = engine._replace(models={"m1": adapters})
    demands = [_demand("m1", "b1"), _demand("m1", "b2")]
    orders = _plan([engine], demands).orders
    assert len(orders) == 1


def test_the_least_recently_used_adapter_is_evicted():
    adapters = frozenset(f"a{n}" for n in range(_MAX_ADAPTERS))
    engine = _engine("a")._replace(models={"m1": adapters})
    last = {f"m1/a{n}": 90_000 - n for n in range(_MAX_ADAPTERS)}
    last["m1/a3"] = 10
    orders = _plan([engine], [_demand("m1", "b")], _usage(last=last)).orders
    unload = model_orders.Order(model_orders.Verb.UNLOAD, "a", "m1", "a3")
    assert orders == [unload]


def test_a_model_in_steady_use_gets_a_second_replica():
    engines = [_engine("a", ["m1"]), _engine("b")]
    orders = _plan(engines, [], _usage({"m1": 9.0})).orders
    assert model_orders.Order(model_orders.Verb.LOAD, "b", "m1") in orders


def test_fits_counts_memory_and_adapters():
    held = {"m1": _NO_ADAPTERS, "m2": _NO_ADAPTERS, "m3": _NO_ADAPTERS}
    order = model_orders.Order(model_orders.Verb.LOAD, "a", "m4")
    models = _models(8)
    assert not model_orders.fits(
        held, order, models, _CAPACITY_MB, _MAX_ADAPTERS
    )
    del held["m3"]
    assert model_orders.fits(held, order, models, _CAPACITY_MB, _MAX_ADAPTERS)


def test_a_frequently_requested_model_comes_before_a_rare_one():
    # Regression: a model that had just come into demand waited for seven
    # seconds, because its requests could no longer meet their latency objective
    # while those of each rare model still could.
    demands = [
        _demand("m1", objective=-100, timeout=1_800, requests=5),
        _demand("m2", objective=2_000),
    ]
    planned = _plan([_engine("a")], demands, _usage({"m1": 20.0}))
    assert planned.orders[0].model == "m1"


def test_engines_with_few_slots_get_replicas_sooner():
    # Large deployments have engines of 16 slots, where 16 requests are all.
    usage = model_orders.Usage({"m0": _NOW_MS}, {"m0": 20.0}, {"m0": 20}, {})
    for slots, replicas in ((64, 0), (16, 1)):
        engines = [
            _engine("a", ["m0"], slots=slots),
            _engine("b", ["m0"], slots=slots),
            _engine("c", slots=slots),
        ]
        orders = _plan(engines, [], usage).orders
        loads = [order for order in orders if order.model == "m0"]
        assert len(loads) == replicas


def test_a_model_without_recent_requests_is_evicted_for_a_waited_for_one():
    # Regression: demand had shifted, and an engine kept two models for seconds
    # that were no longer requested.
    engine = _engine("a", ["m1", "m2", "m3"])
    recent = {"m1": 14.0, "m2": 14.0, "m3": 14.0}
    last = {"m1": _NOW_MS - 1_000, "m2": _NOW_MS - 3_000, "m3": _NOW_MS - 500}
    orders = _plan([engine], [_demand("m4")], _usage(recent, last)).orders
    assert orders == [model_orders.Order(model_orders.Verb.UNLOAD, "a", "m2")]


def test_reloading_a_lost_model_does_not_overload_the_weight_store():
    # Regression: each model in steady use that a crash had removed was loaded
    # immediately, beyond the store's concurrency at full speed.
    engine = _engine("a", copies=_on_disk())
    store = _IDLE_STORE._replace(under_way=4)
    assert not _plan([engine], [], _usage({"m1": 9.0}), store).orders


def test_an_engine_whose_copies_are_waited_for_does_not_load_from_the_store():
    """Engines must not load from the store while their copies are in demand.

    31 of 40 waited-for models had copies, most of them on engines that were
    loading another model from the store.
    """
    full = {"m0": 1}
    engines = [
        _engine("a", ["m0"], running=full, copies=_on_disk("m1", "m2")),
        _engine("b", ["m0"], running=full, copies=_on_disk("m3")),
    ]
    engines = [engine._replace(capacity_mb=_MB * 2) for engine in engines]
    held_back = [_demand("m1", requests=2), _demand("m2", requests=2)]
    # Both engines are about to load from a copy for waiting requests.
    busy = [engines[0]._replace(busy=True, busy_ms=300), engines[1]]
    plan = _plan(busy, [*held_back, _demand("m7", requests=2)])
    assert plan.orders == [
        model_orders.Order(model_orders.Verb.LOAD, "b", "m7")
    ]
    # If the copies of each engine are in higher demand, none loads from the
    # store.
    waited = [*held_back, _demand("m3", requests=9)]
    blocked = [engine._replace(running={"m0": 1, "m3": 1}) for engine in busy]
    blocked[1] = blocked[1]._replace(
        models={"m0": _NO_ADAPTERS, "m8": _NO_ADAPTERS}
    )
    blocked[1] = blocked[1]._replace(running={"m0": 1, "m8": 1})
    plan = _plan(blocked, [*waited, _demand("m7", requests=2)], count=9)
    assert plan.orders == []


def test_an_overdue_model_is_loaded_from_the_store_before_waited_for_ones():
    engine = _engine("a", copies=_on_disk("m1"), busy=False)
    unmet = {"m7": model_orders.UnmetDemand(5.0, _NOW_MS - 60_000)}
    demands = [_demand("m1", requests=9)]
    plan = _plan([engine], demands, _usage(unmet=unmet))
    assert plan.orders == [
        model_orders.Order(model_orders.Verb.LOAD, "a", "m7")
    ]


def _engine_full_of_models_in_use():
    """Returns an engine with capacity for a small model only, and a planner."""
    models = {
        "large": types.Model("large", 100_000, 6_000, 400, 500, 0.0, 0),
        "small": types.Model("small", 50_000, 6_000, 300, 400, 0.0, 0),
        "used": types.Model("used", 150_000, 6_000, 400, 500, 0.0, 0),
    }
    engine = _engine(
        "a", ["used"], running={"used": 3}, copies=_on_disk("large", "small")
    )
    return engine, _planner(models)


def test_an_engine_full_of_models_in_use_loads_what_fits():
    """An engine must not be kept idle for a model that doesn't fit.

    Five of eight engines were idle while 36 models waited: each had capacity
    for a small model and was reserved for a large one until requests to models
    in steady use ended.
    """
    engine, plan = _engine_full_of_models_in_use()
    demands = [_demand("large", requests=9), _demand("small")]
    planned = plan.plan([engine], demands, _usage(), _IDLE_STORE, _NOW_MS)
    load = model_orders.Order(model_orders.Verb.LOAD, "a", "small")
    assert planned.orders == [load]
    assert planned.ready_in_ms["large"] > 1_000


def test_an_overdue_model_reserves_an_engine_until_it_has_capacity():
    """Otherwise small models would use up capacity as it becomes free.

    The large model would never be loaded.
    """
    engine, plan = _engine_full_of_models_in_use()
    unmet = {"large": model_orders.UnmetDemand(5.0, _NOW_MS - 60_000)}
    demands = [_demand("small", requests=9)]
    usage = _usage(unmet=unmet)
    planned = plan.plan([engine], demands, usage, _IDLE_STORE, _NOW_MS)
    assert planned.orders == []
    idle = [engine._replace(running={})]
    planned = plan.plan(idle, demands, usage, _IDLE_STORE, _NOW_MS)
    unload = model_orders.Order(model_orders.Verb.UNLOAD, "a", "used")
    assert planned.orders == [unload]


def test_a_model_whose_engine_stays_full_is_loaded_elsewhere():
    """Regression: the ready time was estimated as 2.6 s, for 12 s on end.

    The engine with a copy was full of models in use all the time.
    """
    full = _engine(
        "a",
        ["m1", "m2", "m3"],
        running={"m1": 1, "m2": 1, "m3": 1},
        copies=_on_disk("m4"),
    )
    other = _engine("b", copies=_on_disk("m0"))
    plans = []
    for since_ms in (1_000, 7_000):
        unmet = {"m4": model_orders.UnmetDemand(30.0, _NOW_MS - since_ms)}
        plans.append(_plan([full, other], [], _usage(unmet=unmet), count=5))
    early, late = plans
    assert not early.orders
    assert late.orders == [
        model_orders.Order(model_orders.Verb.LOAD, "b", "m4")
    ]
    assert late.ready_in_ms["m4"] >= 6_000


def test_the_store_serves_models_without_a_copy_first():
    # Regression: models with copies on an engine that was loading for half a
    # minute were loaded from the store before models that no engine had a copy
    # of.
    engines = [
        _engine("a", copies=_on_disk("m1"), busy=True, busy_ms=30_000),
        _engine("b", copies=_on_disk("m5")),
    ]
    unmet = {
        "m1": model_orders.UnmetDemand(1.0, _NOW_MS - 1_000),
        "m2": model_orders.UnmetDemand(4.0, _NOW_MS - 1_000),
    }
    store = _IDLE_STORE._replace(concurrency=1)
    planned = _plan(engines, [], _usage(unmet=unmet), store)
    load = model_orders.Order(model_orders.Verb.LOAD, "b", "m2")
    assert planned.orders == [load]


def test_an_unserved_model_is_not_evicted_before_its_first_request():
    # Regression: each model was evicted for the next one with unmet demand
    # before it got a request; all were loaded, none was served.
    engine = _engine("a", ["m1", "m2", "m3"], running={"m2": 1, "m3": 1})
    unmet = {
        "m1": model_orders.UnmetDemand(3.0, _NOW_MS - 9_000),
        "m4": model_orders.UnmetDemand(3.0, _NOW_MS - 9_000),
    }
    assert not _plan([engine], [], _usage(unmet=unmet)).orders
    # Requests that wait now come before those that may come.
    orders = _plan([engine], [_demand("m5")], _usage(unmet=unmet)).orders
    assert orders == [model_orders.Order(model_orders.Verb.UNLOAD, "a", "m1")]


def test_a_store_load_waits_for_those_in_progress():
    # Regression: with the store busy for half a minute, callers were given the
    # time of a single load.
    engines = [
        _engine("a", loading="m1", busy=True, busy_ms=3_000, copies=_on_disk()),
        _engine("b", loading="m2", busy=True, busy_ms=7_000, copies=_on_disk()),
        _engine("c", busy=True, busy_ms=9_000, copies=_on_disk()),
        _engine("d", copies=_on_disk()),
    ]
    store = _IDLE_STORE._replace(under_way=2, concurrency=2)
    assert _plan(engines, [_demand("m5")], store=store).ready_in_ms == {
        "m5": 9_000
    }
    # A load that a previous holder ordered, at an engine that is busy with it.
    store = _IDLE_STORE._replace(under_way=3, concurrency=2)
    assert _plan(engines, [_demand("m5")], store=store).ready_in_ms == {
        "m5": 13_000
    }


def test_replicas_of_models_in_steady_use_do_not_evict_each_other():
    # Regression: an engine evicted and loaded the same two models in turn, more
    # than once in two seconds.
    last = dict.fromkeys(("m1", "m2", "m3", "m4"), _NOW_MS - 300)
    recent = dict.fromkeys(last, 9.0)
    engines = [
        _engine("a", ["m1", "m2", "m3"], running={"m1": 1, "m2": 1, "m3": 1}),
        _engine("b", ["m1", "m2", "m4"], running={"m1": 1, "m4": 1}),
    ]
    assert not _plan(engines, [], _usage(recent, last)).orders
    # An overloaded model still gets another replica.
    overloaded = _usage(recent, last)._replace(in_flight={"m3": 100})
    orders = _plan(engines, [], overloaded).orders
    assert orders == [model_orders.Order(model_orders.Verb.UNLOAD, "b", "m2")]


def test_the_store_loads_the_model_with_the_most_unmet_demand():
    # Regression: models with two requests came before others with six because
    # both had come within the last second.
    unmet = {
        "m1": model_orders.UnmetDemand(1.8, _NOW_MS - 7_000),
        "m2": model_orders.UnmetDemand(6.0, _NOW_MS - 7_000),
    }
    usage = _usage({"m1": 1.9, "m2": 0.2}, unmet=unmet)
    store = _IDLE_STORE._replace(concurrency=1)
    engines = [_engine("a", copies=_on_disk())]
    load = model_orders.Order(model_orders.Verb.LOAD, "a", "m2")
    assert _plan(engines, [], usage, store).orders == [load]


def test_store_loads_go_to_the_engine_with_the_fewest_copies():
    # Regression: a prefetched model replaced the only copy of another model on
    # a full disk.
    full = _on_disk("m1", "m2", "m3", "m4")
    engines = [
        _engine("a", copies=full),
        _engine("b", copies=_on_disk("m1")),
        _engine("c", copies=full),
    ]
    store = _IDLE_STORE._replace(concurrency=1)
    load = model_orders.Order(model_orders.Verb.LOAD, "b", "m5")
    assert _plan(engines, [_demand("m5")], store=store).orders == [load]
    assert _plan(engines, [], store=store, count=6).orders == [
        load._replace(model="m0")
    ]


def test_a_store_load_evicts_no_last_copy_if_another_engine_can_load():
    # Regression: on full disks, each load from the store could cost another
    # model its only copy.
    engines = [
        _engine("a", copies=_on_disk("m1", "m2"), disk_mb=2 * _MB),
        _engine("b", copies=_on_disk("m3", "m2"), disk_mb=2 * _MB),
        _engine("c", copies=_on_disk("m3", "m4"), disk_mb=2 * _MB),
    ]
    store = _IDLE_STORE._replace(concurrency=1)
    load = model_orders.Order(model_orders.Verb.LOAD, "b", "m5")
    assert _plan(engines, [_demand("m5")], store=store).orders == [load]
    prefetch = _plan(engines, [], store=store, count=6).orders
    assert prefetch == [load._replace(model="m0")]
    # The other copy is about to be evicted too.
    engines[2] = engines[2]._replace(loading="m5", busy=True, busy_ms=500)
    store = store._replace(under_way=1, concurrency=2)
    assert not _plan(engines, [], store=store, count=6).orders


def test_no_replica_is_loaded_from_the_store_while_others_need_it():
    # Regression: a place of the store went to a second replica while callers
    # of 41 models were refused, as engines had no room for these.
    models = {
        "large": types.Model("large", 100_000, 6_000, 400, 500, 0.0, 0),
        "small": types.Model("small", 50_000, 6_000, 300, 400, 0.0, 0),
        "used": types.Model("used", 150_000, 6_000, 400, 500, 0.0, 0),
    }
    engines = [
        _engine("a", ["small"], capacity_mb=50_000, copies=_on_disk("small")),
        _engine("b", ["used"], running={"used": 3}, copies=_on_disk()),
    ]
    recent, last = {"small": 9.0}, {"small": _NOW_MS - 300}

    def orders(unmet):
        planner = _planner(models)
        usage = _usage(recent, last, unmet)
        return planner.plan(engines, [], usage, _IDLE_STORE, _NOW_MS).orders

    load = model_orders.Order(model_orders.Verb.LOAD, "b", "small")
    assert orders({}) == [load]
    missed = {"large": model_orders.UnmetDemand(4.0, _NOW_MS - 2_000)}
    assert not orders(missed)


def test_a_free_place_of_the_store_is_kept_for_the_model_missed_most():
    # Regression: the engine chosen for the first model was busy for a moment,
    # so any model whose engine was free took the only place of the store; once
    # the last of 50 in the ranking did.
    unmet = {
        "m2": model_orders.UnmetDemand(6.0, _NOW_MS - 7_000),
        "m3": model_orders.UnmetDemand(1.0, _NOW_MS - 7_000),
    }
    store = _IDLE_STORE._replace(concurrency=1)
    last_copies = {"copies": _on_disk("m1"), "disk_mb": _MB}
    soon = _engine("a", copies=_on_disk(), busy=True, busy_ms=300)
    free = _engine("b", **last_copies)
    planned = _plan([soon, free], [], _usage(unmet=unmet), store)
    assert not planned.orders
    # A free engine is preferred if no copy is lost there.
    free = _engine("b", copies=_on_disk("m4"))
    planned = _plan([soon, free], [], _usage(unmet=unmet), store)
    assert planned.orders == [
        model_orders.Order(model_orders.Verb.LOAD, "b", "m2")
    ]
    # While the store waits for room, it loads nothing ahead of demand.
    full = _engine("b", ["m5", "m6", "m7"], copies=_on_disk("m4"))
    planned = _plan([soon, full], [], _usage(unmet=unmet), store)
    assert len(planned.orders) == 1
    assert planned.orders[0].verb is model_orders.Verb.UNLOAD


def test_a_store_load_is_for_a_model_whose_callers_will_be_there():
    # Regression: a load was given for nine callers who had all been refused
    # for good; when it was done, nobody came.
    unmet = {
        "m1": model_orders.UnmetDemand(4.0, _NOW_MS - 7_000),
        "m2": model_orders.UnmetDemand(2.0, _NOW_MS - 7_000),
    }
    usage = _usage(unmet=unmet)
    store = _IDLE_STORE._replace(concurrency=1)
    engines = [_engine("a", copies=_on_disk())]

    def loaded(returning):
        planned = _plan(engines, [], usage._replace(returning=returning), store)
        return [order.model for order in planned.orders]

    assert loaded({}) == ["m1"]
    assert loaded({"m2": (9_000,)}) == ["m2"]
    # They give up before a load is done.
    assert loaded({"m2": (5_000,)}) == ["m1"]


def test_no_more_is_prefetched_at_once_than_has_run_at_full_speed():
    # Regression: four loads began where two run at full speed, and two more
    # just before traffic, which kept the store busy for 16 s.
    engines = [_engine(name, copies=_on_disk()) for name in "abcdef"]
    store = _IDLE_STORE._replace(under_way=2)
    assert len(_plan(engines, [], store=store).orders) == 2
    store = store._replace(proven=2)
    assert not _plan(engines, [], store=store).orders
    demands = [_demand("m7", timeout=9_000)]
    assert len(_plan(engines, demands, store=store).orders) == 1


def test_a_model_is_not_evicted_before_its_refused_callers_come_back():
    # Regression: a model was evicted 0.6 s after its load; its caller came back
    # 3 s later.
    engine = _engine("a", ["m1", "m2", "m3"], running={"m2": 1, "m3": 1})
    usage = _usage()
    demands = [_demand("m5")]
    unload = model_orders.Order(model_orders.Verb.UNLOAD, "a", "m1")
    assert _plan([engine], demands, usage).orders == [unload]
    usage = usage._replace(returning={"m1": (9_000,)})
    assert not _plan([engine], demands, usage).orders


def test_an_overdue_model_gets_room_on_an_engine_full_of_models_in_use():
    # Regression: three models whose only copies were on one engine were not
    # loaded for 27 s, as both models that it held had requests all the time.
    names = ["m1", "m2", "m3"]
    running = {"m1": 2, "m2": 1, "m3": 1}
    full = _engine("a", names, running=running, copies=_on_disk("m4"))
    other = _engine("b", ["m1"], running={"m1": 1}, copies=_on_disk())

    def orders(since_ms, engines):
        unmet = {"m4": model_orders.UnmetDemand(3.0, _NOW_MS - since_ms)}
        store = _IDLE_STORE._replace(concurrency=1, under_way=1)
        return _plan(engines, [], _usage(unmet=unmet), store).orders

    unload = model_orders.Order(model_orders.Verb.UNLOAD, "a", "m1")
    assert orders(9_000, [full, other]) == [unload]
    assert not orders(5_000, [full, other])
    # Another engine must go on serving the evicted model.
    assert not orders(9_000, [full])
