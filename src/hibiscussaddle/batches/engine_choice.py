"""Choose among the engines that may run the items of one batch."""

import collections
from collections import abc

from hibiscussaddle.batches import item_waits
from hibiscussaddle.batches import model
from hibiscussaddle.batches import placement
from hibiscussaddle.batches import runs
from hibiscussaddle import endpoints
from hibiscussaddle.fleet import view as view_lib
from hibiscussaddle.rate_limits import limiter as limiter_lib
from hibiscussaddle.routes import routing_config
from hibiscussaddle.software_versions import continuation


class EngineChoice:
    """Select engines of a batch's service with recent enough weights."""

    def __init__(
        self,
        view: view_lib.View,
        engines: placement.Placement,
        limiter: limiter_lib.Limiter,
        batch: model.Batch,
    ) -> None:
        """Start without a preferred engine for any group."""
        self._view = view
        self._engines = engines
        self._limiter = limiter
        self._batch = batch
        # Engine that read the prompt of each group first and caches it.
        self._group_engines: dict[str, str] = {}
        # The workspace of the batch in the configuration that was seen last.
        self._workspace: routing_config.Workspace | None = None
        self._workspace_config: routing_config.RoutingConfig | None = None

    def route(self) -> routing_config.Route | None:
        """Return the batch's route, None when it isn't configured any more."""
        cfg = self._view.config
        return cfg.route(self._batch.route) if cfg else None

    def workspace(self) -> routing_config.Workspace | None:
        """Return the batch's workspace, None without one."""
        cfg = self._view.config
        if cfg is not self._workspace_config:
            self._workspace_config = cfg
            self._workspace = next(
                (
                    workspace
                    for workspace in (cfg.workspaces if cfg else None) or ()
                    if workspace.name == self._batch.workspace
                ),
                None,
            )
        return self._workspace

    def choose(
        self,
        progress: runs.Progress,
        now: float,
        allow_probe: bool,
        events_left: float = float("inf"),
        avoided_ids: abc.Container[str] = (),
        tokens: int = 0,
        is_overdue: bool = False,
        candidates: abc.Iterable[endpoints.Endpoint] | None = None,
    ) -> endpoints.Endpoint | None:
        """Return the engine for an item's next run, None without capacity.

        Without candidates these are the engines that may continue its text.
        An engine that named a rate limit needs a permit, and comes after the
        others unless a run has to show whether its limit still applies.
        """
        if candidates is None:
            candidates = self.continuing_candidates(progress)
        free, limited = self._by_limit(candidates, avoided_ids)

        def choose(
            choices: list[endpoints.Endpoint],
        ) -> endpoints.Endpoint | None:
            excluded = _excluded_ids(progress)
            return self._engines.choose(
                choices,
                now,
                self._group_engines.get(progress.item.group, ""),
                excluded,
                allow_probe,
                events_left,
                tokens,
                is_overdue,
            )

        def has_permit(candidate: endpoints.Endpoint) -> bool:
            # A permit for an engine without capacity would lapse.
            return choose(
                [candidate]
            ) is not None and self._limiter.prepare_item_permit(candidate)

        due = [ep for ep in limited if not self._limiter.is_deferred(ep)]
        endpoint = choose(free + list(filter(has_permit, due)))
        if endpoint is None:
            endpoint = choose(list(filter(has_permit, limited)))
        progress.excluded_endpoint_id = ""
        if endpoint is None:
            return None
        self._limiter.use_item_permit(endpoint)
        group = progress.item.group
        if group:
            self._group_engines.setdefault(group, endpoint.id)
        return endpoint

    def explain(
        self,
        progress: runs.Progress,
        now: float,
        events_left: float = float("inf"),
        avoided_ids: abc.Container[str] = (),
        tokens: int = 0,
        is_overdue: bool = False,
    ) -> item_waits.Reasons:
        """Count the engines by what keeps an item's next run from each.

        Engines that need a probe run count as suspect.
        """
        reasons: item_waits.Reasons = collections.Counter()
        if self.route() is None:
            reasons[item_waits.Reason.NO_ROUTE] = 1
            return reasons
        listed = self._listed(progress.item)
        if not listed:
            reasons[item_waits.Reason.NO_ENGINE] = 1
        usable = [ep for ep in listed if self._may_use(ep)]
        candidates = continuation.filter_continuing(
            progress.transcript.software_version, usable
        )
        free, limited = self._by_limit(candidates, avoided_ids)
        excluded = _excluded_ids(progress)

        def obstacles(
            choices: list[endpoints.Endpoint],
        ) -> list[item_waits.Reason | None]:
            return self._engines.obstacles(
                choices,
                now,
                excluded,
                False,
                events_left,
                tokens,
                is_overdue,
            )

        reasons.update(
            obstacle or item_waits.Reason.FREE for obstacle in obstacles(free)
        )
        # choose() takes one of those that have a permit and capacity.
        for candidate in limited:
            [obstacle] = obstacles([candidate])
            if obstacle is None:
                has_permit = self._limiter.has_item_permit(candidate)
                obstacle = (
                    item_waits.Reason.FREE
                    if has_permit
                    else item_waits.Reason.NO_PERMIT
                )
            reasons[obstacle] += 1
        reasons[item_waits.Reason.OLD_WEIGHTS] = len(listed) - len(usable)
        reasons[item_waits.Reason.OTHER_SOFTWARE] = len(usable) - len(
            candidates
        )
        reasons[item_waits.Reason.AVOIDED] = (
            len(candidates) - len(free) - len(limited)
        )
        return reasons

    def _by_limit(
        self,
        candidates: abc.Iterable[endpoints.Endpoint],
        avoided_ids: abc.Container[str],
    ) -> tuple[list[endpoints.Endpoint], list[endpoints.Endpoint]]:
        """Return the engines without and those with a rate limit."""
        free: list[endpoints.Endpoint] = []
        limited: list[endpoints.Endpoint] = []
        for candidate in candidates:
            if candidate.id in avoided_ids:
                continue
            is_limited = self._limiter.is_limited(candidate)
            (limited if is_limited else free).append(candidate)
        return free, limited

    def events_per_second(self, item: model.Item) -> float:
        """Return the events that the engines of an item make a second.

        Infinite while no interval between events was observed.
        """
        candidates = self.candidates(item)
        interval = self._engines.typical_median_interval(candidates)
        if not interval:
            return float("inf")
        return sum(
            endpoint.slots
            / (self._engines.state(endpoint).median_interval or interval)
            for endpoint in candidates
        )

    def move_candidates(
        self, progress: runs.Progress
    ) -> list[endpoints.Endpoint]:
        """Return the engines that an item may move to without a permit."""
        return [
            endpoint
            for endpoint in self.continuing_candidates(progress)
            if not self._limiter.is_limited(endpoint)
        ]

    def max_wait_seconds(self, progress: runs.Progress) -> float:
        """Return how long an item waits for an engine of its version."""
        return continuation.max_wait_seconds(
            len(progress.transcript.texts),
            self._engines.typical_median_interval(
                self.candidates(progress.item)
            ),
        )

    def continuing_candidates(
        self, progress: runs.Progress
    ) -> list[endpoints.Endpoint]:
        """Return the engines that may continue the text of an item."""
        return continuation.filter_continuing(
            progress.transcript.software_version,
            self.candidates(progress.item),
        )

    def candidates(self, item: model.Item) -> list[endpoints.Endpoint]:
        """Return the engines that may run an item."""
        return [ep for ep in self._listed(item) if self._may_use(ep)]

    def _listed(self, item: model.Item) -> list[endpoints.Endpoint]:
        """Return the engines of an item's service, whatever their weights."""
        route = self.route()
        if route is None:
            return []
        service = route.service_for(item.id)
        directory = self._view.directory
        return [
            endpoint
            for endpoint in directory.filter_routable(directory.all())
            if endpoint.service == service
        ]

    def _may_use(self, endpoint: endpoints.Endpoint) -> bool:
        name = self._batch.model
        if not name:
            return True
        listed_version = endpoint.weight_version(name)
        if listed_version is None:
            return False
        # The endpoint listing lags behind the responses of the engine.
        observed_version = self._engines.state(endpoint).versions.get(name, 0)
        return max(listed_version, observed_version) >= self._batch.min_version


def _excluded_ids(progress: runs.Progress) -> abc.Set[str]:
    return {progress.excluded_endpoint_id} - {""}
