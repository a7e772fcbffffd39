"""The administration API: what operators may see and change, through any controller."""

from petrelthread.admin.api import Admin
from petrelthread.admin.setting_definitions import KNOBS, Knob, OptionError, check, with_defaults

__all__ = ["KNOBS", "Admin", "Knob", "OptionError", "check", "with_defaults"]
