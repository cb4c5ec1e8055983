"""Delays a prompt while its engine has many prompt tokens to process.

An engine processes prompts between the tokens that it generates for other
requests. In a burst of long prompts, the streams of those requests would pause
for too long.
"""

# Prompt tokens queued at an engine above which a further request is held. To
# process them takes about a quarter of the longest gap that callers accept.
_MAX_QUEUED_PROMPT_TOKENS = 3_000
# A held request is checked again after the time that a short prompt takes, and
# is held for less than half of the shortest latency objective.
RECHECK_MS = 20
_MAX_HOLD_MS = 250


class PromptHold:
    """Decision whether to hold one request.

    Args:
        prompt_tokens: Tokens of its prompt.
        objective_at_ms: When it misses its latency objective.
    """

    def __init__(self, prompt_tokens: int, objective_at_ms: int):
        self._prompt_tokens = prompt_tokens
        self._objective_at_ms = objective_at_ms
        self._held_until_ms: int | None = None

    def should_wait(self, queued_tokens: int, now_ms: int) -> bool:
        """Returns whether the request is held for now.

        Args:
            queued_tokens: Prompt tokens that the engine has yet to process.
            now_ms: Reading of the clock.
        """
        total = queued_tokens + self._prompt_tokens
        if not queued_tokens or total <= _MAX_QUEUED_PROMPT_TOKENS:
            return False
        if self._held_until_ms is None:
            self._held_until_ms = now_ms + min(
                _MAX_HOLD_MS, max(0, self._objective_at_ms - now_ms) // 2
            )
        return now_ms < self._held_until_ms
