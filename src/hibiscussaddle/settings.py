"""Settings of an entry instance, read from flags and the environment."""

from collections import abc
import dataclasses
import ipaddress
import os
import typing

import result

from hibiscussaddle import addresses
from hibiscussaddle import codes

ENV_PREFIX: typing.Final = "HIBISCUSSADDLE_"
HIDDEN: typing.Final = "(hidden)"


def field(
    default: object,
    description: str,
    low: float | None = None,
    high: float | None = None,
    secret: bool = False,
) -> typing.Any:
    """Declare one setting with its description and range."""
    metadata = {
        "description": description,
        "low": low,
        "high": high,
        "secret": secret,
    }
    return dataclasses.field(default=default, metadata=metadata)


@dataclasses.dataclass(frozen=True)
class Settings:
    """Hold the settings of one entry instance."""

    instance: str = field("", "unique name of this entry instance")
    zone: str = field("", "availability zone of this entry instance")
    region: str = field("region-1", "region of the availability zone")
    host: str = field("127.0.0.1", "IP address to listen on")
    caller_port: int = field(8080, "HTTP port for callers", 1, 65535)
    operator_port: int = field(8081, "HTTP port for operators", 1, 65535)
    peer_port: int = field(8082, "TCP port for peers", 1, 65535)
    peers: tuple[str, ...] = field((), "host:port of peers to join by")
    store_url: str = field("", "base URL of the key-value service")
    platform_url: str = field("", "base URL of the platform's endpoint list")
    weight_store_url: str = field("", "base URL of the weight store")
    scorer_url: str = field("", "base URL of the scoring service")
    data_folder: str = field("", "folder for bulk data; empty keeps nothing")
    operator_secret: str = field("", "secret of operators", secret=True)
    peer_secret: str = field("", "secret shared by peers", secret=True)
    tls_cert: str = field("", "PEM certificate file; empty turns TLS off")
    tls_key: str = field("", "PEM private key file")
    tls_ca: str = field("", "PEM file of the authority that peers trust")
    log_level: str = field("info", "debug, info, warning or error")
    store_calls_per_second: float = field(
        5.0, "budget of store calls of this instance", 0.1, 1000
    )
    weight_orders_per_second: float = field(
        100.0,
        "rate limit of the weight store, shared by the zones",
        0.1,
        10_000,
    )
    max_body_bytes: int = field(
        1 << 20, "largest request body, in bytes", 1024, 64 << 20
    )
    max_concurrent: int = field(
        2000, "largest number of requests in progress at once", 1, 100_000
    )
    drain_seconds: float = field(
        3600.0, "longest wait for running work at a planned stop", 1, 86_400
    )

    def to_dict(self) -> dict[str, object]:
        """Return all settings with secrets hidden."""
        shown: dict[str, object] = {}
        for fld in dataclasses.fields(self):
            value = getattr(self, fld.name)
            shown[fld.name] = (
                HIDDEN if fld.metadata["secret"] and value else value
            )
        return shown


_REQUIRED = ("instance", "zone", "operator_secret", "peer_secret")
LOG_LEVELS = ("debug", "info", "warning", "error")
_MIN_SECRET_CHARS = 16


def invalid_setting(
    name: str, value: object, allowed: str
) -> result.Err[codes.Refusal]:
    """Return the refusal of an invalid setting."""
    return result.Err(
        codes.Refusal(
            codes.Code.SETTING_INVALID,
            f"setting {name!r} has value {value!r}; allowed: {allowed}",
        )
    )


def _convert_value(
    fld: "dataclasses.Field[typing.Any]", raw: object
) -> result.Result[object, codes.Refusal]:
    low, high = fld.metadata["low"], fld.metadata["high"]
    if isinstance(fld.default, tuple):
        parts = raw if isinstance(raw, (tuple, list)) else str(raw).split(",")
        return result.Ok(tuple(str(p).strip() for p in parts if str(p)))
    if isinstance(fld.default, str):
        return result.Ok("" if raw is None else str(raw))
    kind = int if isinstance(fld.default, int) else float
    allowed = f"{kind.__name__} from {low} to {high}"
    try:
        number = kind(str(raw))
    except ValueError:
        return invalid_setting(fld.name, raw, allowed)
    if not low <= number <= high:
        return invalid_setting(fld.name, raw, allowed)
    return result.Ok(number)


def _check(cfg: Settings) -> result.Result[Settings, codes.Refusal]:
    for name in _REQUIRED:
        if not getattr(cfg, name):
            return invalid_setting(name, "", "a non-empty string")
    for name in ("operator_secret", "peer_secret"):
        if len(getattr(cfg, name)) < _MIN_SECRET_CHARS:
            return invalid_setting(
                name, HIDDEN, f"at least {_MIN_SECRET_CHARS} characters"
            )
    for name in ("instance", "zone", "region"):
        value = getattr(cfg, name)
        if not value.replace("-", "").replace("_", "").isalnum():
            return invalid_setting(name, value, "letters, digits, '-' and '_'")
    try:
        ipaddress.ip_address(cfg.host)
    except ValueError:
        return invalid_setting("host", cfg.host, "an IP address")
    for peer in cfg.peers:
        try:
            addresses.parse(peer)
        except ValueError:
            return invalid_setting(
                "peers", peer, "host:port, separated by commas"
            )
    for name in ("store_url", "platform_url", "weight_store_url"):
        value = getattr(cfg, name)
        if value and not value.startswith(("http://", "https://")):
            return invalid_setting(name, value, "an http:// or https:// URL")
    if bool(cfg.tls_cert) != bool(cfg.tls_key):
        return invalid_setting(
            "tls_key", cfg.tls_key, "set together with 'tls_cert'"
        )
    for name in ("tls_cert", "tls_key", "tls_ca"):
        value = getattr(cfg, name)
        if value and not os.path.isfile(value):
            return invalid_setting(
                name, value, "the path of a file that exists"
            )
    if cfg.log_level not in LOG_LEVELS:
        return invalid_setting(
            "log_level", cfg.log_level, ", ".join(LOG_LEVELS)
        )
    return result.Ok(cfg)


_T = typing.TypeVar("_T")


def create_settings(
    settings_class: type[_T],
    flags: abc.Mapping[str, object],
    environ: abc.Mapping[str, str],
) -> result.Result[_T, codes.Refusal]:
    """Create settings; flags take precedence over the environment."""
    fields = {
        fld.name: fld
        for fld in dataclasses.fields(settings_class)  # type: ignore[arg-type]
    }
    values: dict[str, typing.Any] = {}
    for name, raw in flags.items():
        if name not in fields:
            return invalid_setting(
                name, raw, "one of " + ", ".join(sorted(fields))
            )
    for name, fld in fields.items():
        raw = flags.get(name, environ.get(ENV_PREFIX + name.upper()))
        if raw is None:
            continue
        converted = _convert_value(fld, raw)
        if isinstance(converted, result.Err):
            return converted
        values[name] = converted.ok_value
    for key in environ:
        name = key.removeprefix(ENV_PREFIX).lower()
        if key.startswith(ENV_PREFIX) and name not in fields:
            return invalid_setting(key, environ[key], "a known setting name")
    return result.Ok(settings_class(**values))


def load(
    flags: abc.Mapping[str, object], environ: abc.Mapping[str, str]
) -> result.Result[Settings, codes.Refusal]:
    """Return the validated settings of an entry instance."""
    return create_settings(Settings, flags, environ).and_then(_check)
