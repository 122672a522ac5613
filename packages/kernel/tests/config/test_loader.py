"""Any INI text gives either typed settings or a list of problems."""

import typing

import hypothesis
from hypothesis import strategies as st
import pytest

from anvilwell_kernel.config import loader
from anvilwell_kernel.config import options
from anvilwell_kernel.config import writer
from anvilwell_kernel import exceptions


class Section(typing.NamedTuple):
    listen: options.AddressOption
    share: options.Share = 0.5
    wait_s: options.Duration = 1.0
    seeds: options.AddressList = ()
    labels: options.TextList = ()
    is_on: options.Flag = False
    token: options.Secret | None = None


class Schema(typing.NamedTuple):
    main: Section
    weights: dict[options.Name, options.Rate] = {}


ADDRESS = st.builds(
    options.Address,
    st.ip_addresses().map(str),
    st.integers(0, 65535),
)
SHARE = st.floats(0, 1)
SECTION = st.builds(
    Section,
    listen=ADDRESS,
    share=SHARE,
    wait_s=st.floats(0.001, 86400),
    seeds=st.lists(ADDRESS, max_size=3).map(tuple),
    labels=st.lists(
        st.text("abcxyz019-_", min_size=1, max_size=8), max_size=3
    ).map(tuple),
    is_on=st.booleans(),
    token=st.none(),
)
WEIGHTS = st.dictionaries(
    st.from_regex(r"\A[A-Za-z0-9]{1,9}\Z"), st.floats(0.1, 9), max_size=3
)


@pytest.mark.fuzz
@hypothesis.given(st.builds(Schema, main=SECTION, weights=WEIGHTS))
def test_rendered_settings_parse_to_the_same_settings(settings):
    text = writer.render(settings)

    assert loader.loads(text, Schema, "x.ini") == settings


@pytest.mark.fuzz
@hypothesis.given(st.text(st.characters(codec="utf-8"), max_size=200))
def test_any_text_gives_settings_or_problems(text):
    for whole in (text, f"[main]\nlisten = {text}", f"[main]\n{text} = 1\n"):
        try:
            loader.loads(whole, Schema, "x.ini")
        except exceptions.ConfigurationError as error:
            assert error.problems
            assert all(problem.source == "x.ini" for problem in error.problems)
            assert all(
                problem.description and problem.fix
                for problem in error.problems
            )


@pytest.mark.parametrize(
    "text",
    [
        "",
        "127.0.0.1",
        ":80",
        "127.0.0.1:",
        "127.0.0.1:65536",
        "127.0.0.1:-1",
        "127.0.0.1:80/x",
        "127.0.0.1:80?x",
        "127.0.0.1:80#x",
        "a@127.0.0.1:80",
        "localhost:80",
        "::1:80",
        "[::1]",
        "http://127.0.0.1:80",
        "127.0.0.1:80, 127.0.0.1:81",
    ],
)
def test_wrong_address_is_refused(text):
    with pytest.raises(ValueError):
        options.parse_address(text)


@pytest.mark.parametrize(
    ("text", "expected"),
    [
        ("127.0.0.1:80", ("127.0.0.1", 80)),
        (" [::1]:0 ", ("::1", 0)),
    ],
)
def test_address(text, expected):
    address = options.parse_address(text)

    assert address == expected
    assert str(address) == text.strip()


def test_secret_is_hidden_everywhere():
    text = "[main]\nlisten = 127.0.0.1:1\ntoken = hunter2\n"
    settings = loader.loads(text, Schema, "x.ini")

    assert settings.main.token.get_secret_value() == "hunter2"
    assert "hunter2" not in repr(settings) + writer.render(settings)


def test_unreadable_file_is_a_problem(tmp_path):
    path = tmp_path / "binary.ini"
    path.write_bytes(b"\xff\xfe")

    with pytest.raises(exceptions.ConfigurationError, match="can't be read"):
        loader.load(path, Schema)
