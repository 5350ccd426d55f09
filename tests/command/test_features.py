"""Guards against features that are chosen wrongly, or not at all."""

import pytest

from jujubetiller import codes, platform, settings
from jujubetiller.command import _features
from standins.mesh_site import documents


def test_features_are_those_of_the_environment() -> None:
    chosen = _features.read_features(
        {_features.FEATURES_VARIABLE: '{"admission": "cost", "placing": "room"}'}
    ).unwrap()
    assert chosen == settings.FeatureSettings(admission="cost", placing="room")
    loaded = platform.load_settings(documents.SETTINGS.encode(), features=chosen)
    assert loaded.unwrap().features == chosen


def test_without_a_choice_the_defaults_hold() -> None:
    assert _features.read_features({}).unwrap() == settings.FeatureSettings()
    loaded = platform.load_settings(documents.SETTINGS.encode())
    assert loaded.unwrap().features == settings.FeatureSettings()


@pytest.mark.parametrize(
    "text",
    ["cost", "[]", '{"admission": "price"}', '{"colour": "red"}', '{"placing": 1}'],
)
def test_a_wrong_choice_is_named(text: str) -> None:
    problem = _features.read_features({_features.FEATURES_VARIABLE: text}).unwrap_err()
    assert problem.code is codes.ResultCode.BAD_SETTINGS
    assert problem.field == _features.FEATURES_VARIABLE
