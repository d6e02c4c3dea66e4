"""Validation and rewriting of the body of a chat-completions request."""

import json
import zlib

import attrs

from paddle_router import _errors

# Lengths of the prompt prefixes that are hashed. Requests whose prompts start
# alike share the digests up to the length of their common prefix.
PREFIX_CHARS = (256, 1_024, 4_096)
PRIORITY_FIELD = 'priority'


@attrs.frozen(kw_only=True)
class ChatBody:
    """Validated fields of a body, and its bytes as received."""

    raw: bytes
    document: dict
    model: str
    stream: bool
    max_tokens: int | None

    @property
    def prompt_chars(self):
        """Estimated length of the prompt: the size of the whole body."""
        return len(self.raw)

    @property
    def prefix(self):
        """Digests of the prompt's prefixes, shortest first."""
        text = self._leading_text()
        return tuple(
            zlib.crc32(text[:size].encode())
            for size in PREFIX_CHARS
            if len(text) >= size
        )

    def _leading_text(self):
        parts = []
        remaining_chars = PREFIX_CHARS[-1]
        for message in self.document['messages']:
            content = message.get('content')
            if not isinstance(content, str):
                break
            parts.append(content[:remaining_chars])
            remaining_chars -= len(content)
            if remaining_chars <= 0:
                break
        return ''.join(parts)

    def for_engine(self, tier):
        """Return the body for an engine, with ``tier`` as its priority."""
        if PRIORITY_FIELD in self.document:
            # A caller must not choose its own priority at the engine.
            document = {**self.document, PRIORITY_FIELD: tier}
            return json.dumps(document).encode()
        # Inserting the field preserves the caller's bytes and avoids encoding
        # the document again.
        start = self.raw.index(b'{') + 1
        field = b'"priority":%d,' % tier
        return self.raw[:start] + field + self.raw[start:]


def parse(raw):
    """Return the :class:`ChatBody` of ``raw``.

    :raises Refusal: if it is not a chat-completions request.
    """
    try:
        document = json.loads(raw.decode())
    except (ValueError, RecursionError):
        raise _invalid('malformed_json', 'the body is not JSON') from None
    if not isinstance(document, dict):
        raise _invalid('malformed_json', 'the body is not a JSON object')
    _check_messages(document.get('messages'))
    return ChatBody(
        raw=raw,
        document=document,
        model=_typed_field(document, 'model', str, required=True),
        stream=bool(_typed_field(document, 'stream', bool)),
        max_tokens=_max_tokens(document),
    )


def _max_tokens(document):
    for name in ('max_completion_tokens', 'max_tokens'):
        value = _typed_field(document, name, int)
        if value is not None:
            if value < 1:
                raise _invalid('invalid_value', f'{name} is below 1', name)
            return value
    return None


def _typed_field(document, name, kind, *, required=False):
    value = document.get(name)
    if value is None and not required:
        return None
    is_unexpected_bool = isinstance(value, bool) and kind is not bool
    if not isinstance(value, kind) or is_unexpected_bool:
        raise _invalid(
            'invalid_value', f'{name} must be of type {kind.__name__}', name
        )
    return value


def _check_messages(messages):
    is_non_empty_list = isinstance(messages, list) and messages
    if not is_non_empty_list or not all(
        isinstance(item, dict) for item in messages
    ):
        raise _invalid(
            'invalid_value',
            'messages must be a non-empty list of objects',
            'messages',
        )


def _invalid(code, message, param=None):
    return _errors.Refusal(400, code, message, param=param)
