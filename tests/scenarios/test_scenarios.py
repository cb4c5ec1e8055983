"""Runs each scenario file."""

import pathlib

import pytest

from tests.scenarios import language

_FILES = sorted(pathlib.Path(__file__).parent.glob("*.scenario"))


@pytest.mark.parametrize("path", _FILES, ids=lambda path: path.stem)
def test_scenario(path, tmp_path):
    language.Scenario(tmp_path).run(path.read_text())
