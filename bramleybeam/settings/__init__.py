"""Settings of each process, read from TOML, checked before ports open."""

from bramleybeam.settings._load import load_settings
from bramleybeam.settings._settings import (
    AgentSettings,
    ClientSettings,
    EntrySettings,
    TlsSettings,
)

__all__ = [
    'AgentSettings',
    'ClientSettings',
    'EntrySettings',
    'TlsSettings',
    'load_settings',
]
