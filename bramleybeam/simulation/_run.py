"""One request at a modelled engine."""

import asyncio
from collections.abc import Callable

import attrs

from bramleybeam.orders import Target


@attrs.define(eq=False)
class Run:
    """A request at an engine; moments are in loop seconds.

    ``parts`` are the prompt's pieces as (name, tokens); ``longest_gap_s`` is
    the longest time between two of its events.
    """

    target: Target
    parts: tuple[tuple[str, int], ...]
    output_tokens: int
    urgency: int = 5
    on_first: Callable[[], None] = attrs.field(default=lambda: None)
    unread: int = 0
    made: int = 0
    first_at: float = 0
    last_at: float = 0
    longest_gap_s: float = 0
    ended: asyncio.Future[bool] = attrs.field(
        factory=lambda: asyncio.get_running_loop().create_future()
    )

    @property
    def tokens(self) -> int:
        """Tokens that it occupies in memory at most."""
        return sum(count for _, count in self.parts) + self.output_tokens

    def end(self, *, is_whole: bool) -> None:
        """Tell whoever waits for it that it is over."""
        if not self.ended.done():
            self.ended.set_result(is_whole)
