"""Answers of the stand-in for an engine, in the form of OpenAI's API."""

import json
from typing import Any


def whole(payload: dict[str, Any], count: int, chat: bool) -> dict[str, Any]:
    """Returns a whole answer.

    Args:
        payload: The request's body.
        count: Number of tokens.
        chat: Whether it is a chat.
    """
    text = " ".join(f"token{index}" for index in range(count))
    return {
        "object": "chat.completion" if chat else "text_completion",
        "model": payload["model"],
        "choices": [_choice("message", text, chat)],
        "usage": _usage(payload, count),
    }


def event(payload: dict[str, Any], index: int, chat: bool) -> bytes:
    """Returns the event of one token of a stream."""
    return _event(
        {
            "object": "chat.completion.chunk" if chat else "text_completion",
            "model": payload["model"],
            "choices": [_choice("delta", f"token{index} ", chat)],
        }
    )


def last_events(payload: dict[str, Any], count: int) -> bytes:
    """Returns the events that end a stream."""
    last = {"choices": [], "usage": _usage(payload, count)}
    return _event(last) + b"data: [DONE]\n\n"


def _event(fields: dict[str, Any]) -> bytes:
    return b"data: " + json.dumps(fields).encode() + b"\n\n"


def _choice(member: str, text: str, chat: bool) -> dict[str, Any]:
    if chat:
        return {"index": 0, member: {"role": "assistant", "content": text}}
    return {"index": 0, "text": text}


def _usage(payload: dict[str, Any], count: int) -> dict[str, int]:
    prompt = payload.get("prompt") or json.dumps(payload.get("messages", ""))
    prompt_tokens = len(str(prompt).split())
    return {
        "prompt_tokens": prompt_tokens,
        "completion_tokens": count,
        "total_tokens": prompt_tokens + count,
    }
