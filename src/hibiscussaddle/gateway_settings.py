"""Settings of a gateway instance, read from flags and the environment."""

from collections import abc
import dataclasses
import typing

import result

from hibiscussaddle import addresses
from hibiscussaddle import codes
from hibiscussaddle.platform import settings_file
from hibiscussaddle import settings

# Set by the hosting platform for every process: the path of its settings file.
_PLATFORM_VARIABLE: typing.Final = settings.ENV_PREFIX + "CONFIG"


@dataclasses.dataclass(frozen=True)
class GatewaySettings:
    """Hold the settings of one gateway instance."""

    instance: str = settings.field("", "unique name of this instance")
    zone: str = settings.field("", "availability zone of this instance")
    caller_address: str = settings.field(
        "", "host:port for callers; empty for an instance that serves none"
    )
    ready_address: str = settings.field(
        "", "host:port of the readiness check; empty serves none"
    )
    peer_address: str = settings.field(
        "", "host:port for peers; empty takes no batches from them"
    )
    metrics_address: str = settings.field(
        "", "host:port of the metrics; empty serves none"
    )
    store_address: str = settings.field("", "host:port of the store")
    store_calls_per_second: float = settings.field(
        100.0, "budget of store calls of this instance", 1, 10_000
    )
    grace_seconds: float = settings.field(
        8.0, "time from SIGTERM until the process is killed", 1, 3600
    )
    cpu_share: float = settings.field(
        1.0, "fraction of a core that this instance may use", 0.0, 1000.0
    )
    cpu_cores: float = settings.field(
        1.0, "speed of that core relative to a reference core", 0.0, 1000.0
    )
    memory_mb: float = settings.field(
        0.0, "memory of this instance in MB; 0 when it is unknown", 0, 1e6
    )
    file_descriptors: int = settings.field(
        0, "descriptors of this instance; 0 when unknown", 0, 10_000_000
    )
    strict_revocation: str = settings.field(
        "false", "whether a revoked key must stop working everywhere"
    )
    revocation_ms: float = settings.field(
        0.0, "time within which a revoked key stops working", 0, 3_600_000
    )
    control_address: str = settings.field(
        "", "host:port of the control API; empty when there is none"
    )
    control_duties: tuple[str, ...] = settings.field(
        (), "calls of the control API that this system makes"
    )
    control_calls_per_second: float = settings.field(
        1.0, "calls that the control API accepts from all", 0.001, 1e6
    )
    usage_window_seconds: float = settings.field(
        0.0, "length of a usage window; 0 reports no usage", 0, 86_400
    )
    usage_late_seconds: float = settings.field(
        0.0, "time from the end of a window until its report is due", 0, 86_400
    )
    log_level: str = settings.field("info", "debug, info, warning or error")


def load(
    flags: abc.Mapping[str, object], environ: abc.Mapping[str, str]
) -> result.Result[GatewaySettings, codes.Refusal]:
    """Return the validated settings of a gateway instance.

    Variables take precedence over the platform's settings file.
    """
    path = environ.get(_PLATFORM_VARIABLE, "")
    try:
        platform_values = settings_file.read(path) if path else {}
    except ValueError as exc:
        return settings.invalid_setting(
            _PLATFORM_VARIABLE, path, f"a readable TOML file; {exc}"
        )
    own_environ = {
        settings.ENV_PREFIX + name.upper(): value
        for name, value in platform_values.items()
        if value != ""
    } | {
        name: value
        for name, value in environ.items()
        if name != _PLATFORM_VARIABLE and value != ""
    }
    return settings.create_settings(
        GatewaySettings, flags, own_environ
    ).and_then(_check)


def _check(
    cfg: GatewaySettings,
) -> result.Result[GatewaySettings, codes.Refusal]:
    for name in ("instance", "zone", "store_address"):
        if not getattr(cfg, name):
            return settings.invalid_setting(name, "", "a non-empty string")
    for name in (
        "caller_address",
        "ready_address",
        "peer_address",
        "metrics_address",
        "store_address",
        "control_address",
    ):
        value = getattr(cfg, name)
        if not value:
            continue
        try:
            addresses.parse(value)
        except ValueError:
            return settings.invalid_setting(
                name,
                value,
                f"host:port with a port in 1..{addresses.MAX_PORT}",
            )
    if cfg.strict_revocation not in ("true", "false"):
        return settings.invalid_setting(
            "strict_revocation", cfg.strict_revocation, "true, false"
        )
    if cfg.log_level not in settings.LOG_LEVELS:
        return settings.invalid_setting(
            "log_level", cfg.log_level, ", ".join(settings.LOG_LEVELS)
        )
    return result.Ok(cfg)
