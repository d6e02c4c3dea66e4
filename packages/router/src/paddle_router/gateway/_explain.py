"""Where a request would go now and why, without sending it.

Only reads: the balancer is asked on a copy, and the request joins no queue, is
not counted and has no key.
"""

import re

import attrs

from paddle_router.gateway import _call
from paddle_router.gateway import _http1
from paddle_router.gateway import _model
from paddle_router.gateway import _routes

_NUMBER = re.compile(r'[0-9]{1,10}')
SEND = 'send'
WAIT = 'wait'
REFUSE = 'refuse'


@attrs.frozen(kw_only=True)
class Question:
    """A request without a body: ``customer`` is a name, ``None`` for none.

    ``parts`` are the :class:`PromptPart` of its prompt; their tokens are the
    prompt's if ``prompt_tokens`` is 0.
    """

    method: str
    host: str
    target: str
    customer: str | None = None
    prompt_tokens: int = 0
    parts: tuple[_model.PromptPart, ...] = ()

    @classmethod
    def from_params(cls, req):
        """Build the question from the query of an HTTP request.

        :raises ValueError: if a parameter is missing or cannot be read; the
            text names what is allowed.
        """
        for name in ('host', 'path'):
            if not req.get_param(name):
                raise ValueError(f'{name}: a value is needed')
        return cls(
            method=req.get_param('method') or 'GET',
            host=req.get_param('host'),
            target=req.get_param('path'),
            customer=req.get_param('customer'),
            prompt_tokens=_count('tokens', req.get_param('tokens') or '0'),
            parts=tuple(
                _part(item)
                for item in (req.get_param('parts') or '').split(',')
                if item
            ),
        )


class Explainer:
    """Explains the decisions of one gateway."""

    def __init__(self, components, name):
        self._components = components
        self._follower = components.follower
        self._name = name

    def explain(self, question):
        """Return where the request would go, as plain data.

        ``services`` has an entry for each service of the route, of which one
        is chosen by weight: the ``decision`` with its ``reason``, and what
        the gateway sees of each server.
        """
        table = self._follower.table
        result = {
            'gateway': self._name,
            'version': table.configuration.version if table else None,
            'evacuated': list(self._follower.evacuation.domains),
            'route': None,
            'services': [],
        }
        if not self._follower.is_ready:
            return {**result, **_refusal(503, 'no configuration yet')}
        route = table.find(question.host, question.target)
        if route is None:
            return {**result, **_refusal(404, 'no route')}
        result['route'] = route.name
        customer = _customer(table.configuration, question.customer)
        requires_key = table.configuration.customers is not None
        if requires_key and not route.is_public and customer is None:
            return {**result, **_refusal(401, 'unknown customer')}
        result['services'] = [
            {
                'service': item.service,
                'weight': item.weight,
                **self._explain_service(
                    self._call(question, route, customer, item.service)
                ),
            }
            for item in route.services
        ]
        return result

    def _call(self, question, route, customer, service):
        now_ms = self._components.clock.now_ms()
        tokens = question.prompt_tokens or sum(
            item.tokens for item in question.parts
        )
        return _call.Call(
            req=_http1.Request(
                method=question.method.encode(),
                target=question.target.encode(),
                headers=[(b'host', question.host.encode())],
                body=b'',
                http_version=b'1.1',
                received_ms=now_ms,
                fresh_connection=True,
            ),
            metadata=_model.RequestMetadata(
                prompt_tokens=tokens, parts=question.parts
            ),
            route=route,
            customer=customer,
            service=service,
            end_ms=now_ms + route.timeout_ms,
            rank=_routes.priority_key(route, customer),
        )

    def _explain_service(self, call):
        now_ms = self._components.clock.now_ms()
        balancer = self._components.balancers.get(call.service)
        if balancer is None:
            return {**_refusal(503, 'no server is listed'), 'servers': []}
        found = balancer.explain(call.engine_work, now_ms)
        return {
            **self._decision(call, balancer, found, now_ms),
            'rank': list(call.rank),
            'candidates': list(found.candidates),
            'servers': [
                _server_row(view, found.costs.get(view.server.id))
                for view in found.views
            ],
        }

    def _decision(self, call, balancer, found, now_ms):
        refused = self._components.request_crashes.refused_trait(call)
        if refused is not None:
            return _refusal(503, f'{refused.id} crashes servers')
        if found.candidates:
            return {
                'decision': SEND,
                'reason': 'lowest cost, at random among the candidates',
            }
        available = balancer.next_availability(call.excluded, now_ms)
        if available is None:
            return _refusal(503, 'no server is expected to take it')
        next_ms = max(0, available.at_ms - now_ms)
        if self._components.waiting.can_wait(call):
            return {
                'decision': WAIT,
                'reason': f'a server takes requests in {next_ms} ms',
            }
        return _refusal(
            503, f'a server takes requests in {next_ms} ms, too late for it'
        )


class ExplanationResource:
    """GET explains the request that the query describes."""

    def __init__(self, explainer):
        self._explainer = explainer

    def on_get(self, req, resp):
        """Answer with the explanation, or 400 for a query that is wrong."""
        try:
            question = Question.from_params(req)
            resp.media = self._explainer.explain(question)
        except ValueError as exc:
            resp.status = 400
            resp.media = {'error': str(exc)}


def _refusal(status, reason):
    return {'decision': REFUSE, 'status': status, 'reason': reason}


def _customer(configuration, name):
    """Return the customer with a name, ``None`` if there is none."""
    customers = (configuration.customers or {}).values()
    return next((item for item in customers if item.name == name), None)


def _server_row(view, cost):
    report = view.report
    return {
        'id': view.server.id,
        'domain': view.failure_domain,
        'slots': view.slots,
        'own': view.own,
        'running': round(view.running, 2),
        'reported': None
        if report is None
        else [report.running, report.waiting, report.slots],
        'report_age_ms': view.report_age_ms,
        'pace_ms': view.pace_ms,
        'told_pace': view.told_pace,
        'allowance': view.allowance,
        'cost': None if cost is None else round(cost, 4),
        'excluded': view.reason if view.is_excluded else None,
    }


def _part(text):
    name, _colon, tokens = text.rpartition(':')
    if not name:
        raise ValueError(f'parts: {text!r} is not ID:TOKENS')
    return _model.PromptPart(id=name, tokens=_count('parts', tokens))


def _count(name, text):
    if not _NUMBER.fullmatch(text):
        raise ValueError(f'{name}: {text!r} is not a number of tokens')
    return int(text)
