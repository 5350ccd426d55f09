"""The frames that nodes exchange, and their encoding."""

from jujubetiller.frames._answer import Answer
from jujubetiller.frames._call import Call
from jujubetiller.frames._cancel import Cancel
from jujubetiller.frames._credit import Credit
from jujubetiller.frames._data import Data
from jujubetiller.frames._digest import Digest
from jujubetiller.frames._frame import Frame
from jujubetiller.frames._frame_decoder import FrameDecoder
from jujubetiller.frames._frame_encoder import FrameEncoder
from jujubetiller.frames._frame_table import FRAME_CLASSES
from jujubetiller.frames._goaway import Goaway
from jujubetiller.frames._hello import Hello
from jujubetiller.frames._ping import Ping
from jujubetiller.frames._pong import Pong
from jujubetiller.frames._pull import Pull
from jujubetiller.frames._push import Push
from jujubetiller.frames._reconcile import Reconcile
from jujubetiller.frames._reconciled import Reconciled
from jujubetiller.frames._seal import Seal
from jujubetiller.frames._sealed import Sealed
from jujubetiller.frames._versions import HIGHEST_VERSION, LOWEST_VERSION

__all__ = [
    "FRAME_CLASSES",
    "HIGHEST_VERSION",
    "LOWEST_VERSION",
    "Answer",
    "Call",
    "Cancel",
    "Credit",
    "Data",
    "Digest",
    "Frame",
    "FrameDecoder",
    "FrameEncoder",
    "Goaway",
    "Hello",
    "Ping",
    "Pong",
    "Pull",
    "Push",
    "Reconcile",
    "Reconciled",
    "Seal",
    "Sealed",
]
