"""Decides whether a prompt is sent later, when its engine has read others.

Load answered: bursts of long prompts. An engine reads them between the tokens
of others, whose streams then stand still for too long.
"""

# Prompt tokens that wait at an engine, beyond which a further request is held
# for a while: about a quarter of the longest gap that callers accept.
_MAX_PREFILL_TOKENS = 3_000
# A held request looks again after the time of a short prompt, and is held for
# less than half of the shortest aim.
LOOK_AGAIN_MS = 20
_MAX_HOLD_MS = 250


class PromptHold:
    """Hold of one request.

    Args:
        prompt_tokens: Tokens of its prompt.
        aim_ms: When it misses its aim.
    """

    def __init__(self, prompt_tokens: int, aim_ms: int):
        self._prompt_tokens = prompt_tokens
        self._aim_ms = aim_ms
        self._until_ms: int | None = None

    def wanted(self, queued_tokens: int, now_ms: int) -> bool:
        """Returns whether to look again later.

        Args:
            queued_tokens: Prompt tokens that the engine has still to read.
            now_ms: Reading of the clock.
        """
        total = queued_tokens + self._prompt_tokens
        if not queued_tokens or total <= _MAX_PREFILL_TOKENS:
            return False
        if self._until_ms is None:
            self._until_ms = now_ms + min(
                _MAX_HOLD_MS, max(0, self._aim_ms - now_ms) // 2
            )
        return now_ms < self._until_ms
