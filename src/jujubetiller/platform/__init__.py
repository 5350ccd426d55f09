"""Names and formats of the users' platform, and the reading of its store."""

from jujubetiller.platform._decoder import PlatformDecoder
from jujubetiller.platform._headers import HEADERS
from jujubetiller.platform._settings import SETTINGS_VARIABLE, load_settings
from jujubetiller.platform._store_reader import StoreReader

__all__ = [
    "HEADERS",
    "SETTINGS_VARIABLE",
    "PlatformDecoder",
    "StoreReader",
    "load_settings",
]
