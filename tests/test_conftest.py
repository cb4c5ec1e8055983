"""Tests of the handling of KNOWN-RED.txt."""

import pathlib

pytest_plugins = ["pytester"]

_CONFTEST = pathlib.Path(__file__).parent / "conftest.py"


def _run(pytester, listed):
    pytester.makefile(".txt", **{"KNOWN-RED": listed})
    pytester.mkdir("tests")
    (pytester.path / "tests" / "conftest.py").write_text(_CONFTEST.read_text())
    (pytester.path / "tests" / "test_a.py").write_text(
        "def test_red():\n    assert False\ndef test_green():\n    pass\n"
    )
    return pytester.runpytest("-rxX", "-p", "no:cacheprovider")


def test_only_listed_tests_may_fail(pytester):
    assert _run(pytester, "").ret == 1


def test_listed_tests_run_and_are_printed(pytester):
    listed = (
        "test: tests/test_a.py::test_red\nseen: a fault\nissue: 9\n\n"
        "test: tests/test_a.py::test_green\nseen: gone\n"
    )
    result = _run(pytester, listed)
    assert result.ret == 0
    result.assert_outcomes(xfailed=1, xpassed=1)
    result.stdout.fnmatch_lines(["*KNOWN-RED: seen: a fault*", "*XPASS*"])
