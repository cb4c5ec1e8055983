"""Tests of tanagerloft.decisions.engine_limits."""

import math

from tanagerloft.decisions import engine_limits


def test_a_limit_is_below_demand_if_the_models_get_more_requests():
    recent = {"m1": 6.0, "m2": 6.0, "elsewhere": 100.0}
    models = ("m1", "m2", "idle")
    assert engine_limits.is_limit_below_demand(models, 1.0, recent)
    assert not engine_limits.is_limit_below_demand(models, 5.0, recent)
    assert not engine_limits.is_limit_below_demand(models, math.inf, recent)
    assert not engine_limits.is_limit_below_demand(("idle",), 1.0, recent)
