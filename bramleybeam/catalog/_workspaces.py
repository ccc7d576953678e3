"""Workspaces of the operator's configuration, their keys and quotas."""

import secrets
from collections.abc import Iterable, Mapping
from enum import StrEnum, unique
from hashlib import blake2b
from typing import Final, Self

import attrs

_DIGEST_BYTES: Final = 16
# Keys are kept as digests under this secret, so that neither a dump of the
# memory nor the time that a look-up takes tells anything of a key.
_SECRET: Final = secrets.token_bytes(32)


@unique
class QuotaUnit(StrEnum):
    """What a quota counts: requests, or the tokens of requests."""

    REQUESTS = 'requests'
    TOKENS = 'tokens'


@attrs.frozen
class Quota:
    """How much a workspace may use, over all gateways together.

    ``rate_per_s`` units a second, and ``burst`` units beyond that. A request
    without token counts costs ``plain_tokens`` if tokens are counted.
    """

    rate_per_s: float
    burst: float
    unit: QuotaUnit = QuotaUnit.REQUESTS
    plain_tokens: int = 0

    def cost(self, tokens: int) -> int:
        """Return what a request costs; ``tokens`` is 0 if it states none.

        >>> Quota(100, 10, QuotaUnit.TOKENS, plain_tokens=20).cost(0)
        20
        """
        if self.unit == QuotaUnit.REQUESTS:
            return 1
        return tokens or self.plain_tokens


@attrs.frozen
class Workspace:
    """A workspace of the operator's callers.

    ``priority`` replaces that of the route, unless it is ``None``. ``quota``
    is ``None`` if its use is not limited.
    """

    name: str
    priority: int | None = None
    quota: Quota | None = None


class WorkspaceDirectory:
    """The workspaces of one configuration, found by name or by key.

    The keys themselves are not kept.
    """

    def __init__(self) -> None:
        """Create a directory without workspaces."""
        self._by_name: dict[str, Workspace] = {}
        self._by_digest: dict[bytes, Workspace] = {}

    @classmethod
    def from_keys(
        cls, entries: Iterable[tuple[Workspace, Iterable[bytes]]]
    ) -> Self:
        """Return the directory of some workspaces and the keys of each."""
        directory = cls()
        for workspace, keys in entries:
            directory.add(workspace, keys)
        return directory

    @property
    def by_name(self) -> Mapping[str, Workspace]:
        """The workspaces by their names."""
        return self._by_name

    def add(self, workspace: Workspace, keys: Iterable[bytes]) -> None:
        """Add a workspace; raises ``ValueError`` for one that clashes."""
        if workspace.name in self._by_name:
            raise ValueError(f'the workspace {workspace.name} is listed twice')
        self._by_name[workspace.name] = workspace
        for key in keys:
            owner = self._by_digest.setdefault(_digest(key), workspace)
            if owner is not workspace:
                raise ValueError(
                    f'{owner.name} and {workspace.name} have the same key'
                )

    def find(self, key: bytes) -> Workspace | None:
        """Return the workspace that a key opens, ``None`` if it opens none."""
        return self._by_digest.get(_digest(key))


def _digest(key: bytes) -> bytes:
    return blake2b(key, key=_SECRET, digest_size=_DIGEST_BYTES).digest()
