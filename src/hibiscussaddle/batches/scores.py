"""Request the scores of one batch's texts."""

from collections import abc

from hibiscussaddle.batches import groups as groups_lib
from hibiscussaddle.batches import limits as limits_lib
from hibiscussaddle.batches import model
from hibiscussaddle.batches import runs
from hibiscussaddle.scoring import admission
from hibiscussaddle.scoring import model as scoring_model
from hibiscussaddle.scoring import scorer as scorer_lib


class BatchScores:
    """Make the scoring calls of one batch, ranked by its groups."""

    def __init__(
        self,
        scorer: scorer_lib.Scorer,
        batch: model.Batch,
        limits: limits_lib.ItemLimits,
        groups: groups_lib.GroupTracker,
        may_send: abc.Callable[[], bool],
    ) -> None:
        """Send calls only while may_send() returns true."""
        self._scorer = scorer
        self._batch = batch
        self._limits = limits
        self._groups = groups
        self._may_send = may_send

    async def score(self, progress: runs.Progress) -> str | None:
        """Return the score of a complete text, None when it is abandoned.

        Items without a scoring call have an empty score.
        """
        call = progress.item.scoring
        if call is None:
            return ""
        job = scoring_model.Job(
            call=call,
            item_id=progress.item.id,
            batch_route=self._batch.route,
            workspace=self._batch.workspace,
            max_attempts=self._limits.max_attempts,
            seconds_left=self._limits.seconds_left,
            rank=lambda: self._rank(progress.item),
            may_send=self._may_send,
            is_expired=self._limits.is_expired,
        )
        score = await self._scorer.score(job)
        return None if score is None else score.proof

    def _rank(self, item: model.Item) -> admission.Rank:
        return admission.Rank(
            is_late=self._limits.seconds_left() < 0,
            submitted_at=self._batch.submitted_at,
            missing_results=self._groups.missing_results(item.group),
            group=item.group,
        )
