"""A request that a simulated engine processes."""

import asyncio
from collections.abc import Callable

import attrs

from bramleybeam.orders import Target


@attrs.define(eq=False)
class EngineRequest:
    """A request at an engine; ``_at`` times are loop times in seconds.

    ``prompt_parts`` are the parts of the prompt as (name, tokens). Requests
    of a lower ``priority`` are admitted first. ``on_first_token`` is called
    when the first token is generated. ``unread_tokens`` are the prompt tokens
    that are still to be processed. ``longest_gap_s`` is the longest time
    between two events. ``ended`` resolves to whether all tokens were
    generated.
    """

    target: Target
    prompt_parts: tuple[tuple[str, int], ...]
    output_tokens: int
    priority: int = 5
    on_first_token: Callable[[], None] = attrs.field(default=lambda: None)
    unread_tokens: int = 0
    generated_tokens: int = 0
    first_token_at: float = 0
    last_event_at: float = 0
    longest_gap_s: float = 0
    ended: asyncio.Future[bool] = attrs.field(
        factory=lambda: asyncio.get_running_loop().create_future()
    )

    @property
    def reserved_tokens(self) -> int:
        """Most tokens that the request occupies in the key-value cache."""
        return sum(count for _, count in self.prompt_parts) + self.output_tokens

    def end(self, *, is_complete: bool) -> None:
        """Resolve ``ended``; does nothing when it is resolved already."""
        if not self.ended.done():
            self.ended.set_result(is_complete)
