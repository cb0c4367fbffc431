"""Run batches against a stand-in store with fake engines and scores."""

from collections import abc
import contextlib
import typing

import anyio
import httpx

from hibiscussaddle.adapters import store
from hibiscussaddle.batches import model
from hibiscussaddle.batches import placement
from hibiscussaddle.batches import reader
from hibiscussaddle.batches import runner
from hibiscussaddle.batches import runs
from hibiscussaddle.batches import storage
from hibiscussaddle.batches import text_cache
from hibiscussaddle.batches import waiting_items
from hibiscussaddle.fleet import view as view_lib
from hibiscussaddle.platform.standins import store as fake_store
from hibiscussaddle.routes import routing_config
from hibiscussaddle.scoring import model as scoring_model
from hibiscussaddle.scoring import scorer

import batch_builders
import limit_builders
import loopback

OWNER = model.Owner("gateway-1", 1)


class FakeItemRunner:
    """Replace the item runner; the test sets how the runs end."""

    def __init__(
        self,
        events_total: int = 20,
        versions: tuple[int, ...] = (1,),
        ends: abc.Iterable[runs.RunEnd] = (),
    ) -> None:
        """End the first runs as given, and complete all others."""
        self.started_after: list[tuple[str, int | None]] = []
        self._total = events_total
        self._versions = versions
        self._ends = list(ends)

    async def run(
        self, progress: runs.Progress, batch: model.Batch, endpoint: object
    ) -> runs.RunEnd:
        """Record the event after which a run starts, then end the run."""
        transcript = progress.transcript
        self.started_after.append((progress.item.id, transcript.last_id))
        await anyio.sleep(0)
        if self._ends:
            return self._ends.pop(0)
        for number in range((transcript.last_id or 0) + 1, self._total + 1):
            transcript.texts.append(f"text {number}")
            transcript.last_id = number
            transcript.versions.update(self._versions)
        return runs.RunEnd.COMPLETE


class FakeScorer:
    """Replace the scorer; the test sets its responses."""

    def __init__(self) -> None:
        """Score every text immediately."""
        self.jobs: list[scoring_model.Job] = []
        self.is_failing = False
        # Calls wait for this event unless it is None.
        self.hold: anyio.Event | None = None

    async def score(
        self, job: scoring_model.Job
    ) -> scoring_model.Score | None:
        """Return a score that contains the call id and the job count."""
        self.jobs.append(job)
        number = len(self.jobs)
        if self.hold is not None:
            await self.hold.wait()
        if self.is_failing:
            return None
        return scoring_model.Score(f"{job.call.id}/{number}", "desk-1")


class Harness:
    """Hold the store and the dependencies of a batch runner."""

    def __init__(self, client: store.StoreClient) -> None:
        """Configure one engine and one route."""
        self.storage = storage.BatchStorage(client)
        self.client = client
        self.view = view_lib.create_view()
        self.view.directory.put(batch_builders.engine("engine-1"))
        self.view.config = routing_config.RoutingConfig(
            1, (batch_builders.route(),)
        )
        self.text_cache = text_cache.TextCache()
        self.engines = placement.Placement()
        self.waiting_items = waiting_items.WaitingItems(self.engines)
        self.scorer = FakeScorer()
        self.reader = reader.BatchReader(self.storage)
        self.limiter = limit_builders.limiter()
        self.limiter.on_item_permit = self.waiting_items.wake

    def dependencies(self, items: object) -> runner.Dependencies:
        """Return the dependencies of a runner with a fake item runner."""
        return runner.Dependencies(
            self.storage,
            self.view,
            self.engines,
            typing.cast(runs.ItemRunner, items),
            self.text_cache,
            self.waiting_items,
            typing.cast(scorer.Scorer, self.scorer),
            self.reader,
            self.limiter,
        )

    async def accept(self, batch: model.Batch) -> storage.OwnerRecord:
        """Store a batch and return its owner record."""
        revision = (await self.storage.accept(batch, OWNER, 1.0)).unwrap()
        return storage.OwnerRecord(batch.id, OWNER, revision)

    async def checkpoints(self, batch_id: str) -> list[model.TextCheckpoint]:
        """Return the stored checkpoints of a batch."""
        return (await self.storage.checkpoints(batch_id)).unwrap()

    async def logged_results(self, batch_id: str) -> list[model.Result]:
        """Return all results of the log in order."""
        entries, _ = (
            await self.storage.log_entries_after(batch_id, "")
        ).unwrap()
        return [result for entry in entries for result in entry.results]


@contextlib.asynccontextmanager
async def harness() -> abc.AsyncIterator[Harness]:
    """Yield a harness around a stand-in store."""
    fake = fake_store.Store()
    async with (
        loopback.serve(fake_store.create_app(fake)) as url,
        httpx.AsyncClient(trust_env=False) as http,
    ):
        client = store.create_client(http, url, calls_per_second=1000)
        created = Harness(client)
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(created.waiting_items.run)
            yield created
            tasks.cancel_scope.cancel()
