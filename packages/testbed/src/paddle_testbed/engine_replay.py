"""Simulation of model engines in time steps, for load replays.

An engine admits requests by urgency, or by age only, and does chunked prefill
between the decoding steps of its batch. When KV memory or slots run out, it
preempts the newest of the least urgent requests. It records what the users'
rules forbid: requests that are preempted while less urgent ones keep running.
"""

import itertools

import attrs

STEP_MS = 10


@attrs.define(eq=False)
class Request:
    """A request; ``rank`` is its true priority, ``urgency`` the one sent.

    The engine sees only ``urgency``. Lower values go first in both. Sizes are
    in tokens; ``first_token_at_ms`` is the time of the first token.
    """

    kind: str
    rank: tuple
    prompt: int
    output: int
    arrived_ms: int
    urgency: int = 0
    number: int = attrs.field(factory=itertools.count().__next__)
    unread_tokens: int = 0
    generated_tokens: int = 0
    first_token_at_ms: int | None = None
    ended_ms: int | None = None
    preemption_count: int = 0

    @property
    def size(self):
        """Number of tokens in KV memory."""
        return self.prompt - self.unread_tokens + self.generated_tokens


@attrs.define(eq=False)
class ReplayEngine:
    """One engine; with ``by_age`` it orders requests by age only.

    ``memory`` is the size of the KV memory in tokens.
    """

    slots: int = 12
    memory: int = 100_000
    prefill_tokens_per_ms: float = 101.0
    ms_per_token: float = 4.0
    by_age: bool = False
    waiting: list = attrs.field(factory=list)
    running: list = attrs.field(factory=list)
    # Requests that were preempted while less urgent ones kept running.
    unfair_preemptions: list = attrs.field(factory=list)

    def send(self, request):
        """Add a request to the queue."""
        request.unread_tokens = request.prompt
        self.waiting.append(request)

    def step(self, now_ms):
        """Simulate ``STEP_MS``; return the requests that ended in it."""
        self._admit()
        self._prefill()
        ended = self._generate(now_ms)
        while sum(item.size for item in self.running) > self.memory:
            self._preempt(self._least_urgent())
        return ended

    def _sort_key(self, request):
        if self.by_age:
            return request.number
        return request.urgency, request.number

    def _least_urgent(self):
        return max(self.running, key=self._sort_key)

    def _admit(self):
        self.waiting.sort(key=self._sort_key)
        while self.waiting:
            most_urgent = self.waiting[0]
            used_tokens = sum(
                item.prompt + item.generated_tokens for item in self.running
            )
            has_room = used_tokens + most_urgent.prompt <= self.memory
            if len(self.running) < self.slots and has_room:
                self.running.append(self.waiting.pop(0))
                continue
            least_urgent = self._least_urgent() if self.running else None
            if (
                least_urgent is None
                or self.by_age
                or most_urgent.urgency >= least_urgent.urgency
            ):
                return
            self._preempt(least_urgent)

    def _preempt(self, request):
        self.running.remove(request)
        if any(item.rank > request.rank for item in self.running):
            self.unfair_preemptions.append(request)
        request.preemption_count += 1
        request.unread_tokens = request.prompt + request.generated_tokens
        self.waiting.append(request)

    def _prefill(self):
        budget_tokens = self.prefill_tokens_per_ms * STEP_MS
        for request in sorted(self.running, key=self._sort_key):
            read_tokens = min(budget_tokens, request.unread_tokens)
            request.unread_tokens -= read_tokens
            budget_tokens -= read_tokens

    def _generate(self, now_ms):
        ended = []
        for request in list(self.running):
            if request.unread_tokens > 0:
                continue
            if request.first_token_at_ms is None:
                request.first_token_at_ms = now_ms
            request.generated_tokens += STEP_MS / self.ms_per_token
            if request.generated_tokens >= request.output:
                request.ended_ms = now_ms
                self.running.remove(request)
                ended.append(request)
        return ended
