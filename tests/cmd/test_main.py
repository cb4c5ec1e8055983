"""Tests of the command line against a table stand-in."""

import json
import threading

from click import testing
import pytest

from tanagerloft.cmd import main
from tanagerloft.config import inventory_text
from tanagerloft.server import http_server
from tanagerloft.standins import platform
from tanagerloft.standins import trial
from tanagerloft.tables import rows
from tanagerloft.tables import table as table_lib
from tanagerloft.util import ids


@pytest.fixture
def run(monkeypatch):
    standin = platform.PlatformStandin()
    server = http_server.HttpServer("127.0.0.1", 0, standin, threads=4)
    url = f"http://127.0.0.1:{server.start()}/"
    monkeypatch.setenv("TANAGERLOFT_TABLE_URL", url)

    def invoke(*arguments):
        return testing.CliRunner().invoke(main.main, arguments)

    invoke.table = standin.table
    yield invoke
    server.stop()


@pytest.fixture
def inventory_file(tmp_path):
    path = tmp_path / "inventory.jsonl"
    path.write_text(inventory_text.dump(trial.make_inventory(1, 2)))
    return str(path)


def test_version_and_help(run):
    assert run("version").output.strip() == "0.1.0"
    assert "Exit codes" in run("--help").output


def test_racing_operators_get_a_conflict(run, inventory_file):
    assert (
        run("inventory", "apply", inventory_file, "--base", "0").exit_code == 0
    )
    late = run("inventory", "apply", inventory_file, "--base", "0")
    assert late.exit_code == 3
    assert "version 1 is in force" in late.stderr
    shown = run("inventory", "show")
    assert inventory_text.parse(shown.stdout) == trial.make_inventory(1, 2)


def test_invalid_inventory_is_refused_whole(run, inventory_file, tmp_path):
    run("inventory", "apply", inventory_file, "--base", "0")
    bad = tmp_path / "bad.jsonl"
    bad.write_text('{"kind": "model"}\n')
    for command in (("check",), ("apply", "--base", "1")):
        result = run("inventory", command[0], str(bad), *command[1:])
        assert result.exit_code == 2
        assert "line 1: field 'name' is missing" in result.stderr
    assert json.loads(run("status", "--json").stdout)["version"] == 1


def test_keys_are_issued_and_withdrawn(run, inventory_file):
    run("inventory", "apply", inventory_file, "--base", "0")
    key = run("keys", "issue", "trial", "second").stdout.strip()
    shown = run("inventory", "show").stdout
    assert key not in shown
    assert ids.sha256_hex(key) in shown
    assert run("keys", "issue", "trial", "second").exit_code == 2
    assert run("keys", "withdraw", "second").exit_code == 0
    assert ids.sha256_hex(key) not in run("inventory", "show").stdout
    assert run("keys", "withdraw", "second").exit_code == 2


def test_withdrawal_names_instances_that_lag(run, inventory_file):
    run("inventory", "apply", inventory_file, "--base", "0")
    row = {"state": "serving", "version": 1, "peer_address": ""}
    put = table_lib.Put(rows.instance("slow"), 0, row)
    run.table.commit(table_lib.Transaction("operation", (put,)))
    result = run("keys", "withdraw", "trial", "--wait-s", "0")
    assert result.exit_code == 4
    assert "not in force yet at: slow" in result.stderr


def test_racing_issuers_lose_no_key(run, inventory_file):
    run("inventory", "apply", inventory_file, "--base", "0")
    names = [f"key-{n}" for n in range(4)]
    threads = [
        threading.Thread(
            target=main.main,
            args=(["keys", "issue", "trial", name],),
            kwargs={"standalone_mode": False},
        )
        for name in names
    ]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    inventory = inventory_text.parse(run("inventory", "show").stdout)
    assert set(names) <= set(inventory.keys)


def test_unreachable_table_fails(run, monkeypatch):
    monkeypatch.setenv("TANAGERLOFT_TABLE_URL", "http://127.0.0.1:1/")
    assert run("status").exit_code == 1


def test_settings_check(run, tmp_path):
    path = tmp_path / "a.ini"
    path.write_text("[instance]\nname = x\n")
    for command in (("config", "check"), ("serve",)):
        result = run(*command, str(path))
        assert result.exit_code == 2
        assert "[instance] name: unknown key" in result.stderr
    assert "keep_warm_ms" in run("config", "explain").output
