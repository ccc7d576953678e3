"""Reads and checks the settings file of a process."""

import tomllib
from pathlib import Path
from typing import TypeVar

import cattrs
from expression import Error, Ok, Result

from bramleybeam.checks import Problem, check_parameters

SettingsType = TypeVar('SettingsType')
_CONVERTER = cattrs.Converter(forbid_extra_keys=True)
_REMEDY = 'Correct the file; docs/operations/settings.md lists every key.'


def load_settings(
    path: Path,
    settings_type: type[SettingsType],
) -> Result[SettingsType, list[Problem]]:
    """Return the checked settings of a TOML file, or every problem found."""
    try:
        raw = tomllib.loads(path.read_text())
    except (OSError, UnicodeDecodeError, tomllib.TOMLDecodeError) as error:
        return Error([Problem(str(path), str(error), 'readable TOML', _REMEDY)])
    try:
        settings = _CONVERTER.structure(raw, settings_type)
    except Exception as error:
        return Error(
            [
                Problem(str(path), message, 'a known key and type', _REMEDY)
                for message in cattrs.transform_error(error, path='settings')
            ]
        )
    problems = list(check_parameters(settings))
    return Error(problems) if problems else Ok(settings)
