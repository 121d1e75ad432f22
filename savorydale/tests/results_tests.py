import pathlib
import re

from savorydale.results import INFO_BY_CODE, ResultCode

RESULT_CODES_PAGE = pathlib.Path(__file__).parents[2] / "docs" / "result-codes.md"


def test_documented_result_codes_match_the_code():
    rows = re.findall(
        r"^\| (\d+) \| `(\w+)` \| (\d+) \| (.*) \|$",
        RESULT_CODES_PAGE.read_text(),
        re.M,
    )
    documented = {
        (int(code), name, int(status), text) for code, name, status, text in rows
    }
    assert documented == {
        (int(code), code.name, info.status, info.sentence)
        for code, info in INFO_BY_CODE.items()
    }


def test_every_code_has_a_status_and_a_sentence():
    assert set(INFO_BY_CODE) == set(ResultCode)


def test_sentences_match_the_range_of_the_code():
    for code, info in INFO_BY_CODE.items():
        assert info.sentence.startswith("Not run:") == (2000 <= code < 3000) or (
            code == ResultCode.KEY_REUSED
        )
        assert info.sentence.startswith("Outcome unknown:") == (3000 <= code < 4000)
