"""Bodies of replies to calls made with aiohttp."""

from bramleybeam.replies._json_body import ReplyTooLongError, read_json_body

__all__ = ['ReplyTooLongError', 'read_json_body']
