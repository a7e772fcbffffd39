"""The administration API: what operators may see and change, through any controller."""

from petrelthread.admin.api import Admin
from petrelthread.admin.setting_definitions import (
    SETTING_DEFINITIONS,
    InvalidSettingError,
    SettingDefinition,
    validate_setting,
    with_defaults,
)

__all__ = [
    "SETTING_DEFINITIONS",
    "Admin",
    "InvalidSettingError",
    "SettingDefinition",
    "validate_setting",
    "with_defaults",
]
