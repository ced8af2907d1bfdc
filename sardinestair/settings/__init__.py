"""Settings of processes, from YAML files, and of services, from the tree."""

from sardinestair.settings.files import load_yaml
from sardinestair.settings.process import (
    EntrySettings,
    SidecarSettings,
)
from sardinestair.settings.tree import (
    Explanation,
    ServiceSettings,
    SettingsTree,
    parse_tree,
)

__all__ = [
    "EntrySettings",
    "Explanation",
    "ServiceSettings",
    "SettingsTree",
    "SidecarSettings",
    "load_yaml",
    "parse_tree",
]
