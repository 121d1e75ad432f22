"""Names become keys that the store allows, and different names different keys."""

import pytest

from savorydale.jobs.name_keys import MAX_KEY_BYTES, key_of_name

LONGEST = "n" * MAX_KEY_BYTES


@pytest.mark.parametrize("name", ["q", "a b", "gate-feed:1", "\u20ac" * 66, LONGEST])
def test_valid_names_are_their_keys(name):
    assert key_of_name(name) == name


@pytest.mark.parametrize(
    "name", ["", LONGEST + "n", "\u20ac" * 67, "a\0", "a\n", "a\ud800", "sha256-0"]
)
def test_other_names_are_replaced_by_their_digest(name):
    key = key_of_name(name)
    assert key != name
    assert len(key.encode()) <= MAX_KEY_BYTES
    assert key_of_name(key) not in (key, name)  # no name has another one's digest
