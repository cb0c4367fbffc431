"""Versions of models and engines, as instances tell each other."""

from collections import abc
import dataclasses

import msgspec

from hibiscussaddle import endpoints
from hibiscussaddle.policy import facts as facts_policy
from hibiscussaddle.policy import routing
from hibiscussaddle import runtime as runtime_lib
from hibiscussaddle import shared_facts

VERSION_KIND = "version"
ENGINE_KIND = "engine"


@dataclasses.dataclass(frozen=True)
class EngineFact:
    """Tell what the holder of the weight lease knows of an engine."""

    incarnation: int
    version: int | None
    serving: bool


def publish_newest(
    runtime: runtime_lib.Runtime, model: str, version: int
) -> None:
    """Tell every instance the newest version of a model."""
    runtime.facts.publish(
        facts_policy.Fact(
            VERSION_KIND, model, version, runtime.cfg.instance, version
        )
    )


def newest(runtime: runtime_lib.Runtime, model: str) -> int:
    """Return the newest known version of a model; 0 without one."""
    fact = runtime.facts.get(VERSION_KIND, model)
    return fact.version if fact is not None else 0


def publish_engine(
    runtime: runtime_lib.Runtime,
    endpoint_id: str,
    fact: EngineFact,
    number: int,
) -> None:
    """Tell the zone about an engine; numbers only increase."""
    runtime.facts.publish(
        facts_policy.Fact(
            ENGINE_KIND,
            endpoint_id,
            number,
            runtime.cfg.instance,
            msgspec.to_builtins(fact),
        )
    )


def engine_fact(
    runtime: runtime_lib.Runtime, endpoint_id: str
) -> EngineFact | None:
    """Return what the holder last told of an engine."""
    fact = runtime.facts.get(ENGINE_KIND, endpoint_id)
    if fact is None:
        return None
    try:
        return msgspec.convert(fact.value, EngineFact)
    except msgspec.ValidationError:
        # From an instance of another release.
        return None


@shared_facts.applies(VERSION_KIND)
def apply_newest(
    runtime: runtime_lib.Runtime, fact: facts_policy.Fact
) -> None:
    """Let the staleness test know the newest version."""
    runtime.steps.note_newest(fact.key, int(fact.value), runtime.clock())


def is_out(
    runtime: runtime_lib.Runtime,
    endpoint: endpoints.Endpoint,
    report: routing.LoadReport | None,
) -> bool:
    """Tell whether an engine's weights are uncertain.

    An engine that itself reports the newest version serves even when no
    holder is left to say so.
    """
    fact = engine_fact(runtime, endpoint.id)
    if fact is None:
        return False
    if report is None or report.incarnation < fact.incarnation:
        return not fact.serving
    if report.incarnation == fact.incarnation and fact.serving:
        return False
    wanted = max(
        (newest(runtime, model) for model in endpoint.models), default=0
    )
    return report.version is None or report.version < wanted


def create_mark(
    runtime: runtime_lib.Runtime,
    marked: abc.Callable[[endpoints.Endpoint], bool],
) -> abc.Callable[[endpoints.Endpoint], bool]:
    """Return a test that adds uncertain engines to the marked ones."""

    def is_marked(endpoint: endpoints.Endpoint) -> bool:
        if marked(endpoint):
            return True
        if endpoint.kind is not endpoints.EndpointKind.ENGINE:
            return False
        report = runtime.dispatcher.book.last_report(endpoint.id)
        return is_out(runtime, endpoint, report)

    return is_marked
