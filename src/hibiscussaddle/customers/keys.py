"""Identify the workspace of a call by the caller's key."""

from collections import abc
import dataclasses
import logging
import typing

import result

from hibiscussaddle import auth
from hibiscussaddle import codes
from hibiscussaddle import logs
from hibiscussaddle.platform import endpoint_wire
from hibiscussaddle.routes import routing_config

_LOG = logging.getLogger(__name__)

# Retry-After while this instance has no configuration: the retry reaches
# another instance.
_OTHER_INSTANCE_RETRY_SECONDS: typing.Final = 0.2

# The workspace of a call, None where callers need no key.
Identity: typing.TypeAlias = result.Result[
    routing_config.Workspace | None, codes.Refusal
]


@dataclasses.dataclass(frozen=True)
class KeyIndex:
    """Find the workspace of a key in one configuration."""

    # By the hash of the key, so that comparing takes as long for any key.
    workspaces: dict[str, routing_config.Workspace]
    # Hashes of the keys that several workspaces list.
    shared_keys: frozenset[str]
    # Names that no header can hold, and of workspaces that share a key.
    unusable_names: frozenset[str]
    sharing_names: frozenset[str]


def create_index(
    workspaces: abc.Iterable[routing_config.Workspace],
) -> KeyIndex:
    """Return the index of the keys of workspaces."""
    found: dict[str, routing_config.Workspace] = {}
    shared: set[str] = set()
    unusable: set[str] = set()
    sharing: set[str] = set()
    for workspace in workspaces:
        if not endpoint_wire.fits_header(workspace.name):
            unusable.add(workspace.name)
        for key in workspace.keys:
            hashed = auth.hash_key(_header_text(key))
            other = found.setdefault(hashed, workspace)
            if other.name != workspace.name:
                shared.add(hashed)
                sharing |= {other.name, workspace.name}
    return KeyIndex(
        {
            hashed: workspace
            for hashed, workspace in found.items()
            if hashed not in shared and workspace.name not in unusable
        },
        frozenset(shared),
        frozenset(unusable),
        frozenset(sharing),
    )


def _header_text(key: str) -> str:
    """Return a key as bearer_token() returns it from a decoded header."""
    text = key.encode("utf-8", "surrogatepass").decode("latin-1")
    return auth.bearer_token(f"Bearer {text}")


def identify(
    index: KeyIndex,
    is_public: bool,
    authorization: abc.Sequence[str],
    is_fresh: bool,
    retry_after: float,
) -> Identity:
    """Return the workspace of a call, None on a public route.

    The authorization has the values of all headers of that name. Keys that
    may have been taken away are not accepted, and keys that may have been
    added are not refused for good: the caller retries after the given
    seconds while the index may be outdated.
    """
    if is_public:
        return result.Ok(None)
    if not is_fresh:
        return result.Err(
            codes.Refusal(
                codes.Code.KEYS_OUTDATED,
                "this instance can't confirm the current keys",
                retry_after,
            )
        )
    tokens = {auth.bearer_token(value) for value in authorization}
    if not tokens:
        return _unauthorized("the request has no Authorization header")
    if len(tokens) > 1:
        return _unauthorized(
            "the Authorization headers hold different credentials"
        )
    token = tokens.pop()
    if not token:
        return _unauthorized("the Authorization header has no bearer key")
    hashed = auth.hash_key(token)
    if hashed in index.shared_keys:
        return _unauthorized("several workspaces list this key")
    workspace = index.workspaces.get(hashed)
    if workspace is None:
        return _unauthorized("no workspace has this key")
    return result.Ok(workspace)


def _unauthorized(why: str) -> result.Err[codes.Refusal]:
    return result.Err(codes.Refusal(codes.Code.UNAUTHORIZED, why))


class CurrentKeys:
    """Identify callers by the configuration that is in force."""

    def __init__(self) -> None:
        """Start without an index."""
        self._cfg: routing_config.RoutingConfig | None = None
        self._index: KeyIndex | None = None

    def identify(
        self,
        cfg: routing_config.RoutingConfig | None,
        route: routing_config.Route | None,
        authorization: abc.Sequence[str],
        is_fresh: bool,
        retry_after: float,
    ) -> Identity:
        """Return the workspace of a call, None where it needs no key.

        Calls for batches have no route.
        """
        if cfg is None:
            return result.Err(no_configuration())
        index = self._current_index(cfg)
        if index is None:
            return result.Ok(None)
        is_public = route is not None and route.is_public
        return identify(index, is_public, authorization, is_fresh, retry_after)

    def _current_index(
        self, cfg: routing_config.RoutingConfig
    ) -> KeyIndex | None:
        if cfg is self._cfg:
            return self._index
        self._cfg = cfg
        self._index = None
        if cfg.workspaces is not None:
            self._index = create_index(cfg.workspaces)
            _log_index(cfg, self._index)
        return self._index


def no_configuration() -> codes.Refusal:
    """Return the refusal of calls that arrive before any configuration."""
    return codes.Refusal(
        codes.Code.NOT_READY,
        "no configuration yet",
        _OTHER_INSTANCE_RETRY_SECONDS,
    )


def _log_index(cfg: routing_config.RoutingConfig, index: KeyIndex) -> None:
    version = cfg.version
    logs.event(
        _LOG,
        "keys_in_force",
        version=version,
        workspaces=len(cfg.workspaces or ()),
        keys=len(index.workspaces),
    )
    for name in sorted(index.unusable_names):
        logs.event(
            _LOG,
            "workspace_unusable",
            logging.WARNING,
            version=version,
            workspace=repr(name),
            why="the name fits no header",
        )
    if index.shared_keys:
        logs.event(
            _LOG,
            "keys_shared",
            logging.WARNING,
            version=version,
            keys=len(index.shared_keys),
            workspaces=",".join(sorted(index.sharing_names)),
        )
