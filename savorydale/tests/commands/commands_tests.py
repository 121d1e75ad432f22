import http.server
import json
import threading

import pytest

from savorydale.__main__ import COMMANDS, main
from savorydale.commands.check import check_file
from savorydale.commands.client import OperatorClient
from savorydale.commands.exit_codes import ExitCode
from savorydale.commands.settings import apply, plan, read_settings_files
from savorydale.exceptions import ConfigurationError

TREE_TOML = """
[nodes.hq]
kind = "headquarters"
[nodes."hq/ga"]
kind = "branch"
"""


def run_command(monkeypatch, *arguments):
    monkeypatch.setattr("sys.argv", ["savorydale", *arguments])
    with pytest.raises(SystemExit) as caught:
        main()
    return caught.value.code


@pytest.fixture
def operator_page():
    """An operator page with configurable responses that records what is posted."""
    success = {"code": 0, "version": 3, "nodes": {}}
    state = {"post_response": success, "get_response": success, "posted": []}

    class Handler(http.server.BaseHTTPRequestHandler):
        def do_GET(self):
            self.respond(state["get_response"])

        def do_POST(self):
            length = int(self.headers["Content-Length"])
            state["posted"].append(json.loads(self.rfile.read(length)))
            self.respond(state["post_response"])

        def respond(self, response):
            body = json.dumps(response).encode()
            self.send_response(200)
            self.send_header("Content-Length", str(len(body)))
            self.end_headers()
            self.wfile.write(body)

        def log_message(self, *arguments):
            return

    server = http.server.ThreadingHTTPServer(("127.0.0.1", 0), Handler)
    threading.Thread(target=server.serve_forever, daemon=True).start()
    state["address"] = f"127.0.0.1:{server.server_port}"
    yield state
    server.shutdown()
    server.server_close()


def test_check_reports_all_errors_of_a_file(tmp_path):
    path = tmp_path / "entry.toml"
    path.write_text("[entry]\nname = 'X!'\n[htp]\nport = 1\n")
    errors = check_file(path)
    assert len(errors) == 6
    assert any(line.startswith("htp = ") and "'http'" in line for line in errors)


def test_check_accepts_settings_trees(tmp_path):
    path = tmp_path / "tree.toml"
    path.write_text(TREE_TOML + '[nodes."hq/ga/x"]\nkind = "job"\n')
    assert ["cannot stand below a branch" in line for line in check_file(path)] == [
        True
    ]


def test_failures_are_mapped_to_exit_codes(monkeypatch, tmp_path, operator_page):
    path = tmp_path / "tree.toml"
    path.write_text(TREE_TOML)
    arguments = ("settings", "apply", str(path), "--entry", operator_page["address"])
    assert run_command(monkeypatch, *arguments) == ExitCode.OK
    for result_code, expected in (
        (4002, ExitCode.CONFLICT),
        (4001, ExitCode.REFUSED),
        (5001, ExitCode.UNREACHABLE),
    ):
        operator_page["post_response"] = {
            "code": result_code,
            "message": "no",
            "faults": ["a fault"],
        }
        assert run_command(monkeypatch, *arguments) == expected
    assert (
        run_command(monkeypatch, "status", "--entry", "127.0.0.1:1")
        == ExitCode.UNREACHABLE
    )
    assert run_command(monkeypatch, "frob") == ExitCode.USAGE
    assert run_command(monkeypatch, "serve") == ExitCode.USAGE
    path.write_text("[nodes")
    assert run_command(monkeypatch, "check", str(path)) == ExitCode.USAGE


def test_plan_lists_each_change_and_apply_posts_them(tmp_path, operator_page):
    (tmp_path / "a.toml").write_text(TREE_TOML)
    (tmp_path / "b.toml").write_text('remove = ["hq/none"]\n')
    client = OperatorClient(operator_page["address"])
    version, changes = plan(client, tmp_path)
    assert version == 3
    assert [(item.action, item.path) for item in changes] == [
        ("add", "hq"),
        ("add", "hq/ga"),
    ]
    apply(client, tmp_path, wait=True)
    assert operator_page["posted"][0]["version"] == 3
    assert operator_page["posted"][0]["wait"] is True


def test_a_node_declared_twice_is_an_error(tmp_path):
    (tmp_path / "a.toml").write_text(TREE_TOML)
    (tmp_path / "b.toml").write_text(TREE_TOML)
    with pytest.raises(ConfigurationError) as caught:
        read_settings_files(tmp_path)
    assert len(caught.value.exceptions) == 2


def test_every_command_shows_an_example():
    assert all("Example: savorydale" in command.help for command in COMMANDS)


def test_plan_without_the_shared_key_is_refused(
    monkeypatch, tmp_path, operator_page, capsys
):
    operator_page["get_response"] = {
        "code": 1005,
        "message": "The shared key is missing or wrong.",
    }
    path = tmp_path / "tree.toml"
    path.write_text(TREE_TOML)
    arguments = ("settings", "plan", str(path), "--entry", operator_page["address"])
    assert run_command(monkeypatch, *arguments) == ExitCode.REFUSED
    assert "1005: The shared key" in capsys.readouterr().err


def test_rollback_posts_the_change_that_restores_the_version(
    monkeypatch, operator_page
):
    node = {"kind": "branch"}
    operator_page["get_response"] = {
        "code": 0,
        "version": 7,
        "nodes": {"hq/a": node, "hq/b": None},
    }
    exit_code = run_command(
        monkeypatch,
        "settings",
        "rollback",
        "4",
        "--entry",
        operator_page["address"],
        "--wait",
    )
    assert exit_code == ExitCode.OK
    assert operator_page["posted"] == [
        {"version": 7, "wait": True, "nodes": {"hq/a": node}, "remove": ["hq/b"]}
    ]


def test_a_refused_rollback_prints_the_error_and_posts_nothing(
    monkeypatch, operator_page, capsys
):
    operator_page["get_response"] = {
        "code": 4007,
        "message": "No such version to go back to.",
    }
    address = operator_page["address"]
    exit_code = run_command(
        monkeypatch, "settings", "rollback", "9", "--entry", address
    )
    assert exit_code == ExitCode.REFUSED
    assert "4007" in capsys.readouterr().err
    exit_code = run_command(
        monkeypatch, "settings", "rollback", "last", "--entry", address
    )
    assert exit_code == ExitCode.USAGE
    assert operator_page["posted"] == []


def test_history_lists_versions(monkeypatch, operator_page, capsys):
    item = {"version": 3, "at": "2026-12-04T07:00:00+00:00", "paths": ["hq"]}
    operator_page["get_response"] = {"code": 0, "version": 3, "changes": [item]}
    exit_code = run_command(
        monkeypatch, "settings", "history", "--entry", operator_page["address"]
    )
    assert exit_code == ExitCode.OK
    assert "2026-12-04" in capsys.readouterr().out
