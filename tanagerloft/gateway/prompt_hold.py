"""Decides whether a prompt is sent later, when its engine has read others.

Load answered: bursts of long prompts. An engine reads them between the tokens
of others, whose streams then stand still for too long.
"""

# Prompt tokens that wait at an engine, beyond which a further request is held
# for a while: about a quarter of the longest gap that callers accept.
_MAX_QUEUED_PROMPT_TOKENS = 3_000
# A held request looks again after the time of a short prompt, and is held for
# less than half of the shortest aim.
RECHECK_MS = 20
_MAX_HOLD_MS = 250


class PromptHold:
    """Hold of one request.

    Args:
        prompt_tokens: Tokens of its prompt.
        objective_at_ms: When it misses its aim.
    """

    def __init__(self, prompt_tokens: int, objective_at_ms: int):
        self._prompt_tokens = prompt_tokens
        self._objective_at_ms = objective_at_ms
        self._held_until_ms: int | None = None

    def should_wait(self, queued_tokens: int, now_ms: int) -> bool:
        """Returns whether to look again later.

        Args:
            queued_tokens: Prompt tokens that the engine has still to read.
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
