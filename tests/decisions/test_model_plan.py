"""Plans of loads and unloads."""

from tanagerloft.decisions import model_orders
from tanagerloft.decisions import model_plan
from tanagerloft.fleet import types

_NONE: frozenset[str] = frozenset()
_MB = 70_000.0
_ROOM_MB = 230_000.0
_SLOTS = 8
_NOW_MS = 100_000
_PLENTY = model_orders.WeightStore(loads_left=10, under_way=0, at_once=4)


def _models(count: int) -> dict[str, types.Model]:
    return {
        f"m{n}": types.Model(f"m{n}", _MB, 6_000, 1_100, 1_400, 66.0, 0)
        for n in range(count)
    }


def _on_disk(*models: str) -> model_orders.Copies:
    return model_orders.Copies(_NONE, frozenset(models))


def _engine(name: str, models=(), **changes) -> model_orders.Engine:
    engine = model_orders.Engine(
        target_id=name,
        service="s",
        models=dict.fromkeys(models, _NONE),
        loading="",
        busy=False,
        busy_ms=0,
        leaving=False,
        copies=_on_disk(*(f"m{n}" for n in range(20))),
        running={},
        slots=64,
        room_mb=_ROOM_MB,
        max_adapters=_SLOTS,
    )
    return engine._replace(**changes)


def _demand(model: str, adapter="", requests=1, aim=3_000, patience=12_000):
    return model_orders.Demand(
        model, adapter, (aim,) * requests, (patience,) * requests
    )


def _usage(recent=None, last=None, missed=None) -> model_orders.Usage:
    return model_orders.Usage(last or {}, recent or {}, {}, missed or {})


def _plan(engines, demands, usage=None, store=_PLENTY, count=8):
    plan = model_plan.ModelPlan(_models(count))
    return plan.plan(engines, demands, usage or _usage(), store, _NOW_MS)


def test_a_waited_for_model_goes_where_a_copy_is():
    engines = [_engine("a", copies=_on_disk()), _engine("b")]
    orders = _plan(engines, [_demand("m1")]).orders
    assert orders == [model_orders.Order(model_orders.Verb.LOAD, "b", "m1")]


def test_a_full_engine_drops_the_model_unused_for_longest():
    engine = _engine("a", ["m1", "m2", "m3"])
    last = {"m1": 90_000, "m2": 50_000, "m3": 80_000}
    orders = _plan([engine], [_demand("m4")], _usage(last=last)).orders
    assert orders == [model_orders.Order(model_orders.Verb.UNLOAD, "a", "m2")]


def test_a_model_that_is_waited_for_is_not_dropped():
    # Seen on the bench: a model was dropped as soon as it had been loaded,
    # before those who waited had reached it.
    engine = _engine("a", ["m1", "m2", "m3"])
    last = {"m1": 90_000, "m2": 50_000, "m3": 80_000}
    demands = [_demand("m4"), _demand("m2")]
    orders = _plan([engine], demands, _usage(last=last)).orders
    assert orders == [model_orders.Order(model_orders.Verb.UNLOAD, "a", "m3")]


def test_a_model_with_running_requests_is_not_dropped():
    engine = _engine("a", ["m1", "m2", "m3"], running={"m2": 1, "m3/a1": 1})
    orders = _plan([engine], [_demand("m4")]).orders
    assert orders == [model_orders.Order(model_orders.Verb.UNLOAD, "a", "m1")]


def test_the_last_replica_in_steady_use_stays():
    engine = _engine("a", ["m1", "m2", "m3"], running={"m2": 1})
    recent = {"m1": 9.0, "m3": 0.1}
    orders = _plan([engine], [_demand("m4")], _usage(recent)).orders
    assert orders == [model_orders.Order(model_orders.Verb.UNLOAD, "a", "m3")]


def test_copies_are_not_fetched_in_the_place_of_models_in_use():
    # Seen on the bench: before traffic began, the models that the platform
    # had placed for it were dropped for rare ones.
    engine = _engine("a", ["m1", "m2", "m3"], copies=_on_disk())
    recent = {"m1": 9.0, "m2": 9.0, "m3": 9.0}
    assert not _plan([engine], [], _usage(recent)).orders


def test_an_idle_engine_fetches_what_nobody_has():
    engine = _engine("a", ["m1"], copies=_on_disk("m0", "m2"))
    orders = _plan([engine], [], count=4).orders
    assert orders == [model_orders.Order(model_orders.Verb.LOAD, "a", "m3")]


def test_loads_from_the_store_keep_to_its_rate():
    engine = _engine("a", copies=_on_disk())
    store = _PLENTY._replace(loads_left=0)
    assert not _plan([engine], [_demand("m1")], store=store).orders


def test_long_loads_leave_engines_for_short_ones():
    # Seen on the bench: engines that fetched copies for six seconds each kept
    # requests waiting for models that take a second and a half.
    some = _on_disk(*(f"m{n}" for n in range(3, 8)))
    engines = [_engine(name, copies=some) for name in ("a", "b", "c")]
    demands = [_demand("m1"), _demand("m2")]
    assert len(_plan(engines, demands).orders) == 1
    used = _usage(last={"m1": _NOW_MS})
    assert not _plan(engines, [], used).orders


def test_new_engines_load_long_all_at_once():
    # Found by a hunt: after all engines had been replaced by new ones without
    # copies, only one of them loaded at a time.
    engines = [_engine(name, copies=_on_disk()) for name in "abcdef"]
    demands = [_demand(f"m{n}") for n in range(6)]
    planned = _plan(engines, demands)
    assert len(planned.orders) == _PLENTY.at_once
    later = sorted(planned.later_ms.values())
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


def test_who_can_still_be_in_time_comes_first():
    demands = [
        _demand("m1", aim=-500, patience=8_000, requests=2),
        _demand("m2", aim=2_000),
    ]
    planned = _plan([_engine("a")], demands)
    assert planned.orders[0].model == "m2"
    assert planned.later_ms["m1"] > planned.later_ms["m2"]


def test_orders_never_exceed_the_places_for_adapters():
    # Seen on the bench: two adapters were ordered into the last place.
    adapters = frozenset(f"a{n}" for n in range(_SLOTS - 1))
    engine = _engine("a", models=[])
    engine = engine._replace(models={"m1": adapters})
    demands = [_demand("m1", "b1"), _demand("m1", "b2")]
    orders = _plan([engine], demands).orders
    assert len(orders) == 1


def test_a_full_set_of_adapters_makes_room_by_the_longest_unused():
    adapters = frozenset(f"a{n}" for n in range(_SLOTS))
    engine = _engine("a")._replace(models={"m1": adapters})
    last = {f"m1/a{n}": 90_000 - n for n in range(_SLOTS)}
    last["m1/a3"] = 10
    orders = _plan([engine], [_demand("m1", "b")], _usage(last=last)).orders
    unload = model_orders.Order(model_orders.Verb.UNLOAD, "a", "m1", "a3")
    assert orders == [unload]


def test_a_model_in_steady_use_gets_a_second_replica():
    engines = [_engine("a", ["m1"]), _engine("b")]
    orders = _plan(engines, [], _usage({"m1": 9.0})).orders
    assert model_orders.Order(model_orders.Verb.LOAD, "b", "m1") in orders


def test_fits_counts_memory_and_places():
    held = {"m1": _NONE, "m2": _NONE, "m3": _NONE}
    order = model_orders.Order(model_orders.Verb.LOAD, "a", "m4")
    models = _models(8)
    assert not model_orders.fits(held, order, models, _ROOM_MB, _SLOTS)
    del held["m3"]
    assert model_orders.fits(held, order, models, _ROOM_MB, _SLOTS)


def test_a_model_that_many_ask_for_comes_before_a_rare_one():
    # Seen on the bench: a model that had just come into demand waited for
    # seven seconds, because its kind of request could no longer meet its aim
    # and each rare model's still could.
    demands = [
        _demand("m1", aim=-100, patience=1_800, requests=5),
        _demand("m2", aim=2_000),
    ]
    planned = _plan([_engine("a")], demands, _usage({"m1": 20.0}))
    assert planned.orders[0].model == "m1"


def test_engines_with_few_slots_get_replicas_sooner():
    # A grown site has engines of 16 slots, where 16 requests are all.
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


def test_a_model_gone_silent_makes_room_for_one_that_is_waited_for():
    # Seen on gcd-vigia: demand had moved on, and an engine kept two models
    # for seconds that nobody asked for any more.
    engine = _engine("a", ["m1", "m2", "m3"])
    recent = {"m1": 14.0, "m2": 14.0, "m3": 14.0}
    last = {"m1": _NOW_MS - 1_000, "m2": _NOW_MS - 3_000, "m3": _NOW_MS - 500}
    orders = _plan([engine], [_demand("m4")], _usage(recent, last)).orders
    assert orders == [model_orders.Order(model_orders.Verb.UNLOAD, "a", "m2")]


def test_a_model_that_was_lost_does_not_overload_the_weight_store():
    # Seen on gcd-vigia-grown: each model in steady use that a crash had taken
    # was loaded at once, beyond what the store takes at full speed.
    engine = _engine("a", copies=_on_disk())
    store = _PLENTY._replace(under_way=4)
    assert not _plan([engine], [], _usage({"m1": 9.0}), store).orders


def test_an_engine_whose_copies_are_waited_for_loads_nothing_long():
    """Seen on gcd-vigia: 31 of 40 waited-for models had copies somewhere.

    Most of those were on engines that loaded another one from the store.
    """
    full = {"m0": 1}
    engines = [
        _engine("a", ["m0"], running=full, copies=_on_disk("m1", "m2")),
        _engine("b", ["m0"], running=full, copies=_on_disk("m3")),
    ]
    engines = [engine._replace(room_mb=_MB * 2) for engine in engines]
    held_back = [_demand("m1", requests=2), _demand("m2", requests=2)]
    # Both engines are about to load a copy for those who wait for it.
    busy = [engines[0]._replace(busy=True, busy_ms=300), engines[1]]
    plan = _plan(busy, [*held_back, _demand("m7", requests=2)])
    assert plan.orders == [
        model_orders.Order(model_orders.Verb.LOAD, "b", "m7")
    ]
    # Where each engine is waited for more, nobody loads long.
    waited = [*held_back, _demand("m3", requests=9)]
    blocked = [engine._replace(running={"m0": 1, "m3": 1}) for engine in busy]
    blocked[1] = blocked[1]._replace(models={"m0": _NONE, "m8": _NONE})
    blocked[1] = blocked[1]._replace(running={"m0": 1, "m8": 1})
    plan = _plan(blocked, [*waited, _demand("m7", requests=2)], count=9)
    assert plan.orders == []


def test_an_overdue_model_is_loaded_from_the_store_whoever_waits():
    engine = _engine("a", copies=_on_disk("m1"), busy=False)
    missed = {"m7": model_orders.Missed(5.0, _NOW_MS - 60_000)}
    demands = [_demand("m1", requests=9)]
    plan = _plan([engine], demands, _usage(missed=missed))
    assert plan.orders == [
        model_orders.Order(model_orders.Verb.LOAD, "a", "m7")
    ]


def _engine_full_of_models_in_use():
    """Returns an engine with room for a small model only, and a plan."""
    models = {
        "large": types.Model("large", 100_000, 6_000, 400, 500, 0.0, 0),
        "small": types.Model("small", 50_000, 6_000, 300, 400, 0.0, 0),
        "used": types.Model("used", 150_000, 6_000, 400, 500, 0.0, 0),
    }
    engine = _engine(
        "a", ["used"], running={"used": 3}, copies=_on_disk("large", "small")
    )
    return engine, model_plan.ModelPlan(models)


def test_an_engine_full_of_models_in_use_takes_what_fits():
    """Seen on gcd-vigia, scale-1: five of eight engines idle, 36 models waited.

    Each had room for a small model and was kept for a large one, until runs
    of models in steady use should end.
    """
    engine, plan = _engine_full_of_models_in_use()
    demands = [_demand("large", requests=9), _demand("small")]
    planned = plan.plan([engine], demands, _usage(), _PLENTY, _NOW_MS)
    load = model_orders.Order(model_orders.Verb.LOAD, "a", "small")
    assert planned.orders == [load]
    assert planned.later_ms["large"] > 1_000


def test_an_overdue_model_keeps_an_engine_until_there_is_room():
    """Otherwise small models would fill each gap, and it never came."""
    engine, plan = _engine_full_of_models_in_use()
    missed = {"large": model_orders.Missed(5.0, _NOW_MS - 60_000)}
    demands = [_demand("small", requests=9)]
    usage = _usage(missed=missed)
    planned = plan.plan([engine], demands, usage, _PLENTY, _NOW_MS)
    assert planned.orders == []
    idle = [engine._replace(running={})]
    planned = plan.plan(idle, demands, usage, _PLENTY, _NOW_MS)
    drop = model_orders.Order(model_orders.Verb.UNLOAD, "a", "used")
    assert planned.orders == [drop]


def test_a_model_that_waits_in_vain_for_room_is_loaded_elsewhere():
    """Seen on gcd-vigia-grown, scale-2: promised in 2.6 s, for 12 s."""
    full = _engine(
        "a",
        ["m1", "m2", "m3"],
        running={"m1": 1, "m2": 1, "m3": 1},
        copies=_on_disk("m4"),
    )
    other = _engine("b", copies=_on_disk("m0"))
    plans = []
    for since_ms in (1_000, 7_000):
        missed = {"m4": model_orders.Missed(30.0, _NOW_MS - since_ms)}
        plans.append(_plan([full, other], [], _usage(missed=missed), count=5))
    early, late = plans
    assert not early.orders
    assert late.orders == [
        model_orders.Order(model_orders.Verb.LOAD, "b", "m4")
    ]
    assert late.later_ms["m4"] >= 6_000


def test_the_store_serves_models_without_a_copy_first():
    # Seen on gcd-vigia-grown: copies on an engine that loaded for half a minute
    # made their models go before those that no engine has.
    engines = [
        _engine("a", copies=_on_disk("m1"), busy=True, busy_ms=30_000),
        _engine("b", copies=_on_disk("m5")),
    ]
    missed = {
        "m1": model_orders.Missed(1.0, _NOW_MS - 1_000),
        "m2": model_orders.Missed(4.0, _NOW_MS - 1_000),
    }
    store = _PLENTY._replace(at_once=1)
    planned = _plan(engines, [], _usage(missed=missed), store)
    load = model_orders.Order(model_orders.Verb.LOAD, "b", "m2")
    assert planned.orders == [load]


def test_a_missed_model_is_not_dropped_before_anybody_is_served():
    # Seen on gcd-vigia-grown: each model made room for the next missed one
    # before a caller found it; all were loaded, none was served.
    engine = _engine("a", ["m1", "m2", "m3"], running={"m2": 1, "m3": 1})
    missed = {
        "m1": model_orders.Missed(3.0, _NOW_MS - 9_000),
        "m4": model_orders.Missed(3.0, _NOW_MS - 9_000),
    }
    assert not _plan([engine], [], _usage(missed=missed)).orders
    # Who waits now goes before those who may come.
    waits = _plan([engine], [_demand("m5")], _usage(missed=missed)).orders
    assert waits == [model_orders.Order(model_orders.Verb.UNLOAD, "a", "m1")]


def test_a_load_waits_for_those_that_the_store_carries():
    # Seen on gcd-vigia-grown: with the store full for half a minute, callers
    # were told the time of one load.
    engines = [
        _engine("a", loading="m1", busy=True, busy_ms=3_000, copies=_on_disk()),
        _engine("b", loading="m2", busy=True, busy_ms=7_000, copies=_on_disk()),
        _engine("c", busy=True, busy_ms=9_000, copies=_on_disk()),
        _engine("d", copies=_on_disk()),
    ]
    store = _PLENTY._replace(under_way=2, at_once=2)
    assert _plan(engines, [_demand("m5")], store=store).later_ms == {
        "m5": 9_000
    }
    # One that a holder before has ordered, at an engine that is busy with it.
    store = _PLENTY._replace(under_way=3, at_once=2)
    assert _plan(engines, [_demand("m5")], store=store).later_ms == {
        "m5": 13_000
    }


def test_replicas_of_models_in_steady_use_do_not_push_each_other_out():
    # Seen on gcd-vigia-grown: an engine dropped and loaded the same two models
    # by turns, more than once in two seconds.
    last = dict.fromkeys(("m1", "m2", "m3", "m4"), _NOW_MS - 300)
    recent = dict.fromkeys(last, 9.0)
    engines = [
        _engine("a", ["m1", "m2", "m3"], running={"m1": 1, "m2": 1, "m3": 1}),
        _engine("b", ["m1", "m2", "m4"], running={"m1": 1, "m4": 1}),
    ]
    assert not _plan(engines, [], _usage(recent, last)).orders
    # Of a crowded one there is another replica all the same.
    crowded = _usage(recent, last)._replace(in_flight={"m3": 100})
    orders = _plan(engines, [], crowded).orders
    assert orders == [model_orders.Order(model_orders.Verb.UNLOAD, "b", "m2")]


def test_the_store_serves_what_has_been_missed_most():
    # Seen on gcd-vigia-grown: models with two requests went before others with
    # six, as both had come within the last second.
    missed = {
        "m1": model_orders.Missed(1.8, _NOW_MS - 7_000),
        "m2": model_orders.Missed(6.0, _NOW_MS - 7_000),
    }
    usage = _usage({"m1": 1.9, "m2": 0.2}, missed=missed)
    store = _PLENTY._replace(at_once=1)
    engines = [_engine("a", copies=_on_disk())]
    load = model_orders.Order(model_orders.Verb.LOAD, "a", "m2")
    assert _plan(engines, [], usage, store).orders == [load]


def test_loads_from_the_store_go_where_the_fewest_copies_are():
    # Seen on gcd-vigia-grown: a copy fetched ahead of demand took the place of
    # the only copy of another model on a full disk.
    full = _on_disk("m1", "m2", "m3", "m4")
    engines = [
        _engine("a", copies=full),
        _engine("b", copies=_on_disk("m1")),
        _engine("c", copies=full),
    ]
    store = _PLENTY._replace(at_once=1)
    load = model_orders.Order(model_orders.Verb.LOAD, "b", "m5")
    assert _plan(engines, [_demand("m5")], store=store).orders == [load]
    assert _plan(engines, [], store=store, count=6).orders == [
        load._replace(model="m0")
    ]
