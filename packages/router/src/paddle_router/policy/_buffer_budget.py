"""How many bytes a process may hold for its peers, and for whom.

This addresses callers that read slowly or not at all, and large bodies that
arrive at the same time. Each connection may hold a part of the room that is
still free, so that a connection that holds nothing finds room however many
others are full. If the room is scarce, connections that make no progress are
ended, the one that holds most first; the others cost nothing.
"""

import enum

import attrs

BYTES_PER_MB = 1_000_000
# Share of the process's memory that bytes held for peers may use. An idle
# gateway needs about 60 MB, and the least memory of the users' machines is
# 160 MB; parsing and copies need some of the rest.
BUFFER_SHARE = 0.25
# Share of that for request bodies, the rest is for answers. Callers that do
# not read their answers leave the room for bodies free, and the reverse.
BODY_SHARE = 0.5
# Largest share of the room for answers that one caller may use.
CALLER_SHARE = 1 / 16
# Share of the free room for answers that one caller may use.
FREE_SHARE = 1 / 8
# Share of the free room for bodies that one body may use. The largest bodies
# are refused first as the room shrinks.
BODY_FREE_SHARE = 1 / 2
# Above this share of the room for answers, callers that make no progress are
# ended.
SCARCE_SHARE = 0.75
# A caller that reads less than a sixteenth of what it is owed in a second
# would need 16 s for it, longer than the callers of the users wait.
PROGRESS_SHARE = 1 / 16
STALL_MS = 1_000


class Verdict(enum.Enum):
    """``KEEP`` more bytes, ``PAUSE`` their source, or ``END`` the peer."""

    KEEP = 'keep'
    PAUSE = 'pause'
    END = 'end'


@attrs.frozen(kw_only=True)
class BufferBudget:
    """Bounds in bytes for ``answers`` and for ``bodies`` of requests."""

    answers: int
    bodies: int

    @classmethod
    def from_memory(cls, memory_mb):
        """Return the budget of a process with ``memory_mb`` MB."""
        bound = int(memory_mb * BYTES_PER_MB * BUFFER_SHARE)
        bodies = int(BODY_SHARE * bound)
        return cls(answers=bound - bodies, bodies=bodies)

    def caller_room(self, total, own):
        """Return how many more bytes may be held for a caller.

        ``total`` bytes are held for all callers, ``own`` for this one.
        """
        free = max(0, self.answers - total)
        part = min(CALLER_SHARE * self.answers, FREE_SHARE * free)
        return max(0, int(part) - own)

    def is_scarce(self, total):
        """Return whether ``total`` bytes leave little room for answers."""
        return total > SCARCE_SHARE * self.answers

    def judge_caller(self, total, own, stalled_ms):
        """Return the :class:`Verdict` on a caller.

        ``stalled_ms`` is the time for which it has made no progress.
        """
        if own and stalled_ms >= STALL_MS and self.is_scarce(total):
            return Verdict.END
        if self.caller_room(total, own):
            return Verdict.KEEP
        return Verdict.PAUSE

    def judge_body(self, total, size):
        """Return the :class:`Verdict` on ``size`` more bytes of a body.

        ``total`` bytes are held for all bodies. ``END`` means that the body
        cannot fit, whatever else is released.
        """
        if size > BODY_FREE_SHARE * self.bodies:
            return Verdict.END
        if size <= BODY_FREE_SHARE * max(0, self.bodies - total):
            return Verdict.KEEP
        return Verdict.PAUSE
