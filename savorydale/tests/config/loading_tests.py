import pytest

from savorydale.config.loading import load_config, parse_config
from savorydale.exceptions import ConfigurationError

VALID_CONFIG = {
    "entry": {"name": "ga-1", "zone": "ga-north-a"},
    "http": {"port": 8080},
    "peer": {"port": 8081},
    "platform": {"url": "http://10.0.0.1:80"},
}


def errors_of(**changes):
    with pytest.raises(ConfigurationError) as caught:
        parse_config(VALID_CONFIG | changes, "test.toml")
    return {error.option: error for error in caught.value.exceptions}


def test_defaults_are_filled_in():
    config = parse_config(VALID_CONFIG, "test.toml")
    assert config["lease"]["entry_seconds"] == 3
    assert config["http"]["host"] == "127.0.0.1"


def test_all_errors_are_reported_at_once_with_value_and_remedy():
    errors = errors_of(
        http={"port": "8080", "thread": 8}, peer={"port": 99999}, entry={"name": "x"}
    )
    assert set(errors) == {"http.port", "http.thread", "peer.port", "entry.zone"}
    assert "'8080'" in str(errors["http.port"])
    assert "Did you mean 'threads'?" in str(errors["http.thread"])
    assert "at most 65535" in str(errors["peer.port"])


def test_a_non_loopback_host_requires_a_shared_key():
    errors = errors_of(http={"port": 8080, "host": "0.0.0.0"})
    assert "shared_key" in str(errors["http.host"])
    key = {"shared_key": "0123456789abcdef"}
    parse_config(
        VALID_CONFIG | {"http": {"port": 1, "host": "0.0.0.0"}, "security": key}, "t"
    )


def test_heartbeat_interval_is_at_most_half_the_lease():
    assert set(errors_of(peer={"port": 1, "heartbeat_seconds": 2})) == {
        "peer.heartbeat_seconds"
    }


def test_a_file_that_is_not_toml_is_reported(tmp_path):
    path = tmp_path / "entry.toml"
    path.write_text("[entry\n")
    with pytest.raises(ConfigurationError) as caught:
        load_config(path)
    assert "is not TOML" in str(caught.value.exceptions[0])
