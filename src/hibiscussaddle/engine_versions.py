"""Weight versions of models and engines, shared between instances."""

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
    """Describe an engine as the holder of the weight lease knows it."""

    incarnation: int
    version: int | None
    serving: bool


def publish_newest_version(
    runtime: runtime_lib.Runtime, model: str, version: int
) -> None:
    """Publish the newest version of a model to every instance."""
    runtime.facts.publish(
        facts_policy.Fact(
            VERSION_KIND, model, version, runtime.cfg.instance, version
        )
    )


def newest_version(runtime: runtime_lib.Runtime, model: str) -> int:
    """Return the newest known version of a model; 0 without one."""
    fact = runtime.facts.get(VERSION_KIND, model)
    return fact.version if fact is not None else 0


def publish_engine_state(
    runtime: runtime_lib.Runtime,
    endpoint_id: str,
    fact: EngineFact,
    number: int,
) -> None:
    """Publish the state of an engine to the zone.

    `number` orders the states of the engine and must increase with each.
    """
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
    """Return the last published state of an engine, if it is known here."""
    fact = runtime.facts.get(ENGINE_KIND, endpoint_id)
    if fact is None:
        return None
    try:
        return msgspec.convert(fact.value, EngineFact)
    except msgspec.ValidationError:
        # Published by an instance of another release.
        return None


@shared_facts.applies(VERSION_KIND)
def apply_newest_version(
    runtime: runtime_lib.Runtime, fact: facts_policy.Fact
) -> None:
    """Record the newest version of a model for the staleness check."""
    runtime.steps.record_newest_version(
        fact.key, int(fact.value), runtime.clock()
    )


def has_uncertain_weights(
    runtime: runtime_lib.Runtime,
    endpoint: endpoints.Endpoint,
    report: routing.LoadReport | None,
) -> bool:
    """Return whether the weight version of an engine is uncertain.

    An engine that itself reports the newest version is used even when no
    holder of the weight lease is left to publish it.
    """
    fact = engine_fact(runtime, endpoint.id)
    if fact is None:
        return False
    if report is None or report.incarnation < fact.incarnation:
        return not fact.serving
    if report.incarnation == fact.incarnation and fact.serving:
        return False
    newest = max(
        (newest_version(runtime, model) for model in endpoint.models),
        default=0,
    )
    return report.version is None or report.version < newest


def create_mark_check(
    runtime: runtime_lib.Runtime,
    is_excluded: abc.Callable[[endpoints.Endpoint], bool],
) -> abc.Callable[[endpoints.Endpoint], bool]:
    """Return a predicate for the dispatcher's `is_marked`.

    It holds where `is_excluded` holds, and for engines whose weight version
    is uncertain.
    """

    def is_marked(endpoint: endpoints.Endpoint) -> bool:
        if is_excluded(endpoint):
            return True
        if endpoint.kind is not endpoints.EndpointKind.ENGINE:
            return False
        report = runtime.dispatcher.load_tracker.last_report(endpoint.id)
        return has_uncertain_weights(runtime, endpoint, report)

    return is_marked
