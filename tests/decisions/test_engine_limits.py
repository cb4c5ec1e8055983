"""Engines with a limit as room for models."""

import math

from tanagerloft.decisions import engine_limits


def test_an_engine_takes_too_little_if_its_models_are_asked_for_more_often():
    recent = {"m1": 6.0, "m2": 6.0, "elsewhere": 100.0}
    models = ("m1", "m2", "idle")
    assert engine_limits.takes_too_little(models, 1.0, recent)
    assert not engine_limits.takes_too_little(models, 5.0, recent)
    assert not engine_limits.takes_too_little(models, math.inf, recent)
    assert not engine_limits.takes_too_little(("idle",), 1.0, recent)
