"""Finds traits of requests that crash each server that runs them.

A trait is something that requests can have in common: a part of the prompt,
or the fingerprint of the whole request, which its repeats have. Each server
that begins to run a request with such a trait crashes and cuts the responses
to all other requests. The requests that a server was running when it crashed
are the candidates; a prompt part is one only if the server had not begun to
answer. A trait is blamed if it is among them in several crashes and no request
with it has been served around that time.

Traits are shared: every request of a route may begin with the same prompt
part, so most candidates are sound. They are cleared by requests with the same
trait that were served, and prompt parts by those whose response has begun.
Once a trait is blamed, the crashes that it explains do not count against the
others. Only if the blamed trait is a fingerprint, they still count as one
crash against the prompt parts: a part that crashes servers is found although
one request with it was repeated several times.

Servers that crash at the same moment have one cause. If no request with a
trait was sent between two such crashes, they count as one against the trait,
however many of its requests the servers were running.

Times are ms since the Unix epoch by the synchronized clock of the instances,
so that evidence can be merged in any order and several times.
"""

import collections

import attrs

from paddle_router.policy import _server_notices

# Crashes after which a trait is refused. With two, a rarely used trait that
# waited at two servers that crashed for another reason would be refused.
CRASHES_TO_REFUSE = 3
# A trait is not blamed for a crash if a request with it was served, or a
# prompt with it began to be answered, at most this long before the crash or
# later.
SERVED_VALIDITY_MS = 5_000
# Crashes of servers within this time may have one cause. The clocks of
# instances differ by less.
SAME_MOMENT_MS = 1_000
# How long requests with a blamed trait are refused. Afterwards one more crash
# is enough to refuse them again.
REFUSAL_MS = 600_000
# Reports of one server within this time belong to the same crash: the clocks
# of instances differ by less, and a server takes longer to restart and fail.
SAME_CRASH_MS = 1_000
# Crashes are remembered this long, so that a trait in a few requests a minute
# is found too.
RETENTION_MS = 600_000
# Parts of crashes in this time are suspects, of which gateways report when
# they were served last.
SUSPICION_MS = 30_000
# Suspected fingerprints are announced after this many crashes; all requests
# that a crash interrupts have a fingerprint.
CRASHES_TO_SUSPECT_REQUEST = 2
# Ids of prompt parts contain no colon.
REQUEST_PREFIX = 'request:'
# Bounds on memory and message size.
MAX_REPORTS = 512
MAX_SUSPECTS = 64
MAX_REFUSED = 64


def request_trait(fingerprint):
    """Return the trait that a request shares with its repeats."""
    return REQUEST_PREFIX + fingerprint


def is_request_trait(trait):
    """Return whether ``trait`` identifies a request and its repeats."""
    return trait.startswith(REQUEST_PREFIX)


@attrs.frozen(kw_only=True)
class CrashReport:
    """A request that a server was running when it crashed.

    ``id`` identifies the report, ``traits`` holds the request's traits, the
    one that the fewest requests have last. The request was sent at
    ``sent_ms``, the server crashed at ``at_ms``.
    """

    id: str
    server: _server_notices.Incarnation
    at_ms: int
    traits: tuple[str, ...]
    sent_ms: int


@attrs.frozen(kw_only=True)
class ServedTrait:
    """A trait that had not crashed the server of a request at ``at_ms``.

    The response was complete or, for a prompt part, had begun.
    """

    id: str
    at_ms: int


@attrs.frozen(kw_only=True)
class RefusedTrait:
    """A trait whose requests are refused until ``until_ms``."""

    id: str
    until_ms: int

    @property
    def is_request(self):
        """Whether only one request and its repeats have the trait."""
        return is_request_trait(self.id)


@attrs.define(eq=False)
class _Crash:
    """A crash and its candidate traits.

    ``positions`` holds their positions in their requests, ``sent_ms`` when
    the last request with each was sent to the server.
    """

    server: _server_notices.Incarnation
    at_ms: int
    positions: dict = attrs.field(factory=dict)
    sent_ms: dict = attrs.field(factory=dict)

    def add(self, report):
        for position, trait in enumerate(report.traits):
            self.positions[trait] = max(
                position, self.positions.get(trait, position)
            )
            self.sent_ms[trait] = max(
                report.sent_ms, self.sent_ms.get(trait, report.sent_ms)
            )


@attrs.frozen
class Blame:
    """A trait that is refused from now on, and the crashes it explains."""

    trait: RefusedTrait
    servers: tuple[_server_notices.Incarnation, ...]


class RequestCrashes:
    """Evidence on crashes, and the traits that it leads to refuse.

    All ``add`` methods may get the same facts again, in any order.
    """

    def __init__(self):
        # Report ids by arrival, to recognize repeated reports.
        self._reports = collections.OrderedDict()
        self._crashes = []
        self._crashes_of = collections.defaultdict(list)
        self._served_ms = {}
        self._refused_until_ms = {}
        self._suspected_since_ms = {}

    @property
    def suspects(self):
        """The traits that may have crashed a server."""
        return tuple(self._suspected_since_ms)

    def add_reports(self, reports, now_ms):
        """Add :class:`CrashReport` objects."""
        new = [
            attrs.evolve(item, at_ms=min(item.at_ms, now_ms))
            for item in reports
            if item.id not in self._reports
        ]
        for item in new:
            self._reports[item.id] = item
            self._add_report(item)
        if new:
            self._forget(now_ms)

    def add_served(self, served, now_ms):
        """Add :class:`ServedTrait` objects."""
        for item in served:
            self._served_ms[item.id] = max(
                min(item.at_ms, now_ms), self._served_ms.get(item.id, 0)
            )

    def add_refused(self, refused, now_ms):
        """Add :class:`RefusedTrait` objects that other instances decided on.

        A time further away than ``REFUSAL_MS`` comes from a wrong clock.
        """
        for item in refused:
            until_ms = min(item.until_ms, now_ms + REFUSAL_MS)
            if until_ms > now_ms:
                self._refused_until_ms[item.id] = max(
                    until_ms, self._refused_until_ms.get(item.id, 0)
                )

    def reports(self):
        """Return all :class:`CrashReport` objects, oldest first."""
        return tuple(self._reports.values())

    def served(self, traits):
        """Return a :class:`ServedTrait` for each of ``traits`` that was."""
        return tuple(
            ServedTrait(id=trait, at_ms=self._served_ms[trait])
            for trait in traits
            if trait in self._served_ms
        )

    def refused(self, now_ms):
        """Return the :class:`RefusedTrait` objects in force, newest first."""
        return tuple(
            RefusedTrait(id=trait, until_ms=until_ms)
            for trait, until_ms in sorted(
                self._refused_until_ms.items(), key=lambda item: -item[1]
            )
            if until_ms > now_ms
        )[:MAX_REFUSED]

    def decide(self, now_ms, collection_ms):
        """Update suspects and refused traits; return the new blames.

        A trait is only refused after it has been a suspect for
        ``collection_ms``, the time in which every gateway can report that it
        has served the trait.
        """
        self._forget(now_ms)
        blames = []
        while True:
            blamed = self._blamed(now_ms, collection_ms)
            if blamed is None:
                break
            until_ms = now_ms + REFUSAL_MS
            trait, crashes = blamed
            self._refused_until_ms[trait] = until_ms
            blames.append(
                Blame(
                    RefusedTrait(id=trait, until_ms=until_ms),
                    tuple(crash.server for crash in crashes),
                )
            )
        self._update_suspects(now_ms)
        return blames

    def dump(self):
        """Return plain data for the state dump."""
        return {
            'crashes': [
                {
                    'server': crash.server.id,
                    'at_ms': crash.at_ms,
                    'traits': list(crash.positions),
                }
                for crash in self._crashes
            ],
            'suspects': dict(self._suspected_since_ms),
            'refused_until_ms': dict(self._refused_until_ms),
        }

    def _add_report(self, report):
        crash = self._crash_of(report)
        new_traits = set(report.traits).difference(crash.positions)
        crash.add(report)
        for trait in new_traits:
            self._crashes_of[trait].append(crash)

    def _crash_of(self, report):
        for crash in self._crashes:
            if (
                crash.server == report.server
                and abs(crash.at_ms - report.at_ms) <= SAME_CRASH_MS
            ):
                return crash
        crash = _Crash(report.server, report.at_ms)
        self._crashes.append(crash)
        return crash

    def _blamed(self, now_ms, collection_ms):
        """Return the trait to refuse next and its crashes, or ``None``.

        Among traits with as many crashes, the one is chosen that the fewest
        requests have: a fingerprint, or else the last part of a prompt.
        """
        candidates = {
            trait: crashes
            for trait, crashes in self._crashes_by_trait().items()
            if len(crashes) >= self._crashes_to_refuse(trait)
        }
        if not candidates:
            return None

        def weight(trait):
            crashes = candidates[trait]
            position = max(crash.positions[trait] for crash in crashes)
            return len(crashes), is_request_trait(trait), position

        trait = max(candidates, key=weight)
        crashes = candidates[trait]
        # A less specific trait, suspected earlier, is not blamed instead.
        since_ms = self._suspected_since_ms.get(trait, now_ms)
        if now_ms - since_ms < collection_ms:
            return None
        equals = [
            item
            for item in candidates
            if weight(item)[:2] == (len(crashes), True)
        ]
        if len(equals) > 1:
            # All but one are probably sound and are served when they come
            # again.
            times_ms = sorted(crash.at_ms for crash in crashes)
            decisive_ms = times_ms[self._crashes_to_refuse(trait) - 1]
            if now_ms - decisive_ms < collection_ms:
                return None
        return trait, crashes

    def _crashes_to_refuse(self, trait):
        return 1 if trait in self._refused_until_ms else CRASHES_TO_REFUSE

    def _crashes_to_suspect(self, trait):
        if not is_request_trait(trait):
            return 1
        return min(self._crashes_to_refuse(trait), CRASHES_TO_SUSPECT_REQUEST)

    def _crashes_by_trait(self):
        """Return the crashes that each suspicious trait may have caused."""
        by_trait = {}
        for trait, crashes in self._crashes_of.items():
            needed = self._crashes_to_suspect(trait)
            if len(crashes) < needed:
                continue
            served_ms = self._served_ms.get(trait)
            if served_ms is not None:
                crashes = [
                    crash
                    for crash in crashes
                    if crash.at_ms > served_ms + SERVED_VALIDITY_MS
                ]
            crashes = _independent(
                trait, self._without_explained(trait, crashes)
            )
            if len(crashes) >= needed:
                by_trait[trait] = crashes
        return by_trait

    def _without_explained(self, trait, crashes):
        """Return the ``crashes`` that count against ``trait``."""
        counted = {}
        for crash in crashes:
            causes = self._refused_traits(crash)
            if not causes:
                counted[id(crash)] = crash
            elif not is_request_trait(trait) and all(
                map(is_request_trait, causes)
            ):
                counted[causes[0]] = crash
        return list(counted.values())

    def _refused_traits(self, crash):
        return [
            trait
            for trait, until_ms in self._refused_until_ms.items()
            if trait in crash.positions and crash.at_ms <= until_ms
        ]

    def _update_suspects(self, now_ms):
        weights = {
            trait: (len(crashes), max(crash.at_ms for crash in crashes))
            for trait, crashes in self._crashes_by_trait().items()
        }
        recent = sorted(
            (
                trait
                for trait, (_count, last_ms) in weights.items()
                if now_ms - last_ms <= SUSPICION_MS
            ),
            key=weights.get,
            reverse=True,
        )
        self._suspected_since_ms = {
            trait: self._suspected_since_ms.get(trait, now_ms)
            for trait in recent[:MAX_SUSPECTS]
        }

    def _forget(self, now_ms):
        while self._reports and (
            len(self._reports) > MAX_REPORTS
            or now_ms - next(iter(self._reports.values())).at_ms > RETENTION_MS
        ):
            self._reports.popitem(last=False)
        oldest_ms = now_ms - RETENTION_MS
        kept = [crash for crash in self._crashes if crash.at_ms >= oldest_ms]
        if len(kept) < len(self._crashes) or len(kept) > MAX_REPORTS:
            self._crashes = kept[-MAX_REPORTS:]
            self._crashes_of.clear()
            for crash in self._crashes:
                for trait in crash.positions:
                    self._crashes_of[trait].append(crash)
        self._served_ms = {
            trait: at_ms
            for trait, at_ms in self._served_ms.items()
            if at_ms >= oldest_ms
        }
        # A trait that was served after its refusal is sound again.
        self._refused_until_ms = {
            trait: until_ms
            for trait, until_ms in self._refused_until_ms.items()
            if until_ms + RETENTION_MS > now_ms
            and self._served_ms.get(trait, 0) <= until_ms
        }


def _independent(trait, crashes):
    """Return the ``crashes`` that may each have been caused by ``trait``.

    One that follows another at once counts only if a request with the trait
    was sent after that: servers that lose their power together were all
    running earlier requests.
    """
    found = []
    for crash in sorted(crashes, key=lambda crash: crash.at_ms):
        if (
            not found
            or crash.at_ms - found[-1].at_ms > SAME_MOMENT_MS
            or crash.sent_ms[trait] >= found[-1].at_ms
        ):
            found.append(crash)
    return found
