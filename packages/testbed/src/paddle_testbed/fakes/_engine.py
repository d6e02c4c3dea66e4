"""Fake model engine with batching, a prefix cache and stale load reports."""

import collections
import itertools
import json
import random

import attrs
import falcon
import gevent

from paddle_testbed.fakes import _server

MS_PER_S = 1_000
WORDS = ('slide', 'box', 'cowl', 'roof', 'draught', 'frame', 'archive')
CRLF = '\r\n'
LF = '\n'


@attrs.frozen(kw_only=True)
class EngineOptions:
    """Speed and limits of a fake engine; times in ms.

    ``batch_slowdown`` is the ratio by which a full batch adds to the
    inter-token time. ``report_lag_ms`` is the age of the load report.
    """

    slots: int = 8
    kv_tokens: int = 65_536
    prefill_ms_per_token: float = 0.05
    inter_token_ms: float = 20.0
    batch_slowdown: float = 0.5
    default_tokens: int = 20
    report_lag_ms: int = 500
    prefix_cache_entries: int = 64
    line_end: str = LF
    checks_numbers: bool = True
    can_resume: bool = True
    seed: int = 1


class FakeEngine(_server.FakeServer):
    """Engine whose speed and faults can be changed while it runs.

    ``slow_factor`` multiplies all times; ``frozen`` suspends generation;
    ``reports_idle`` makes the load report show no load; ``crash_after_tokens``
    closes the next stream once, after that many chunks.
    """

    def __init__(self, options=None, *, models=('small',), **server_options):
        self.options = options or EngineOptions()
        self.models = models
        self.slow_factor = 1.0
        self.frozen = False
        self.reports_idle = False
        self.crash_after_tokens = None
        self.cancelled = 0
        self.generated_tokens = 0
        self.running = 0
        self.waiting = []
        self.orders = []
        self.highest_number = 0
        self._ticket_numbers = itertools.count()
        self._cached_prefixes = collections.OrderedDict()
        self._reports = collections.deque()
        app = falcon.App()
        app.add_route('/v1/chat/completions', _Completions(self))
        app.add_route('/load', _Load(self))
        app.add_route('/orders', _Orders(self))
        super().__init__(app, **server_options)

    def start(self):
        super().start()
        self._reporter = gevent.spawn(self._report_load)
        return self

    def stop(self):
        self._reporter.kill()
        super().stop()

    def load_report(self):
        """Return the load report of ``report_lag_ms`` ago."""
        return self._reports[0] if self._reports else self._current_load()

    def acquire(self, priority):
        """Wait for a slot; a lower ``priority`` value goes first."""
        ticket = (priority, next(self._ticket_numbers))
        self.waiting.append(ticket)
        try:
            while (
                self.frozen
                or self.running >= self.options.slots
                or min(self.waiting) != ticket
            ):
                gevent.sleep(0.002)
        finally:
            self.waiting.remove(ticket)
        self.running += 1

    def release(self):
        """Release a slot."""
        self.running -= 1

    def prefill_ms(self, prompt):
        """Return the prefill time; cached prefix tokens cost nothing."""
        prefix = prompt[:256]
        cached = prefix in self._cached_prefixes
        self._cached_prefixes[prefix] = True
        self._cached_prefixes.move_to_end(prefix)
        while len(self._cached_prefixes) > self.options.prefix_cache_entries:
            self._cached_prefixes.popitem(last=False)
        tokens = max(0, count_tokens(prompt) - (64 if cached else 0))
        return tokens * self.options.prefill_ms_per_token * self.slow_factor

    def inter_token_ms(self):
        """Return the time of one decoding step at the current batch size."""
        fill = self.running / self.options.slots
        step_ms = self.options.inter_token_ms * self.slow_factor
        return step_ms * (1 + self.options.batch_slowdown * fill)

    def pause(self, duration_ms):
        """Sleep for ``duration_ms``, and longer while the engine is frozen."""
        gevent.sleep(duration_ms / MS_PER_S)
        while self.frozen:
            gevent.sleep(0.005)

    def _current_load(self):
        running = 0 if self.reports_idle else self.running
        waiting = 0 if self.reports_idle else len(self.waiting)
        return {
            'running': running,
            'waiting': waiting,
            'slots': self.options.slots,
            'kv_used': running * 512,
            'kv_total': self.options.kv_tokens,
            'age_ms': self.options.report_lag_ms,
        }

    def _report_load(self):
        period_ms = 50
        max_reports = max(1, self.options.report_lag_ms // period_ms)
        while True:
            self._reports.append(self._current_load())
            while len(self._reports) > max_reports:
                self._reports.popleft()
            gevent.sleep(period_ms / MS_PER_S)


def count_tokens(text):
    """Return the number of words, each of which counts as one token."""
    return len(text.split())


class _Completions:
    def __init__(self, engine):
        self._engine = engine

    def on_post(self, req, resp):
        body = json.loads(req.bounded_stream.read())
        prompt = ' '.join(
            str(message.get('content', '')) for message in body['messages']
        )
        generation = _Generation(self._engine, body, prompt, req)
        self._engine.acquire(int(body.get('priority', 0)))
        if body.get('stream'):
            resp.content_type = 'text/event-stream'
            resp.stream = generation.events()
        else:
            resp.media = generation.whole()


class _Generation:
    """One generation; its words depend only on the seed and the prompt."""

    def __init__(self, engine, body, prompt, req):
        self._engine = engine
        self._body = body
        self._prompt = prompt
        self._resume_from = int(req.get_header('Paddle-Resume-From') or 0)
        self._id = req.get_header('Paddle-Request-Id') or 'none'
        self._token_count = int(
            body.get('max_tokens') or engine.options.default_tokens
        )

    def events(self):
        is_complete = False
        try:
            for index, word in self._generate_words():
                yield self._event({'index': 0, 'delta': {'content': word}})
                if self._engine.crash_after_tokens == index + 1:
                    self._engine.crash_after_tokens = None
                    raise ConnectionResetError('injected crash')
            yield self._event(
                {'index': 0, 'delta': {}, 'finish_reason': 'stop'},
                usage=self._usage(),
            )
            yield self._encode_event('data: [DONE]')
            is_complete = True
        finally:
            self._engine.release()
            if not is_complete:
                self._engine.cancelled += 1

    def whole(self):
        try:
            text = ''.join(word for _, word in self._generate_words())
        finally:
            self._engine.release()
        message = {'role': 'assistant', 'content': text}
        choice = {'index': 0, 'message': message, 'finish_reason': 'stop'}
        return {
            **self._common_fields('chat.completion'),
            'choices': [choice],
            'usage': self._usage(),
        }

    def _generate_words(self):
        rng = random.Random(f'{self._engine.options.seed}{self._prompt}')
        self._engine.pause(self._engine.prefill_ms(self._prompt))
        for index in range(self._token_count):
            word = f'{rng.choice(WORDS)}-{index} '
            if index < self._resume_from:
                continue
            self._engine.pause(self._engine.inter_token_ms())
            self._engine.generated_tokens += 1
            yield index, word

    def _common_fields(self, kind):
        return {
            'id': self._id,
            'object': kind,
            'created': 0,
            'model': self._body.get('model'),
        }

    def _usage(self):
        prompt = count_tokens(self._prompt)
        return {
            'prompt_tokens': prompt,
            'completion_tokens': self._token_count,
            'total_tokens': prompt + self._token_count,
        }

    def _event(self, choice, **extra):
        head = self._common_fields('chat.completion.chunk')
        chunk = {**head, 'choices': [choice], **extra}
        return self._encode_event('data: ' + json.dumps(chunk))

    def _encode_event(self, text):
        end = self._engine.options.line_end
        return (text + end + end).encode()


class _Load:
    def __init__(self, engine):
        self._engine = engine

    def on_get(self, req, resp):
        resp.media = self._engine.load_report()


class _Orders:
    def __init__(self, engine):
        self._engine = engine

    def on_post(self, req, resp):
        order = json.loads(req.bounded_stream.read())
        engine = self._engine
        if engine.options.checks_numbers:
            if order['number'] < engine.highest_number:
                resp.status = falcon.HTTP_409
                resp.media = {'error': 'stale_number'}
                return
            engine.highest_number = order['number']
        engine.orders.append(order)
        resp.media = {'id': order['id'], 'state': 'done'}
