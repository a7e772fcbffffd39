"""The administration API: views and settings for operators, available on every controller."""

from petrelthread.admin.alerts import AlertTracker
from petrelthread.admin.api import ADMIN_PREFIX, Admin
from petrelthread.admin.conditions import active_conditions
from petrelthread.admin.setting_definitions import (
    SETTING_DEFINITIONS,
    InvalidSettingError,
    SettingDefinition,
    provisioning_options,
    validate_setting,
    with_defaults,
)

__all__ = [
    "ADMIN_PREFIX",
    "SETTING_DEFINITIONS",
    "Admin",
    "AlertTracker",
    "InvalidSettingError",
    "SettingDefinition",
    "active_conditions",
    "provisioning_options",
    "validate_setting",
    "with_defaults",
]
