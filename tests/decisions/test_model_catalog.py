"""Tests of tanagerloft.decisions.model_catalog."""

from tanagerloft.decisions import model_catalog
from tanagerloft.fleet import types


def _model(size_mb: float, adapter_size_mb: float = 10.0) -> types.Model:
    return types.Model("m", size_mb, 6_000, 300, 400, adapter_size_mb, 2)


def test_a_withdrawn_model_keeps_its_size():
    catalog = model_catalog.ModelCatalog()
    catalog.declare({"m": _model(70_000)})
    catalog.declare({})
    assert "m" not in catalog.declared
    assert catalog.known["m"].size_mb == 70_000


def test_a_model_that_is_declared_with_other_sizes_counts_with_the_largest():
    # Engines may still hold the weights of an earlier declaration.
    catalog = model_catalog.ModelCatalog()
    catalog.declare({"m": _model(70_000, 10.0)})
    catalog.declare({"m": _model(50_000, 20.0)})
    assert catalog.declared["m"].size_mb == 50_000
    assert catalog.known["m"].size_mb == 70_000
    assert catalog.known["m"].adapter_size_mb == 20.0
