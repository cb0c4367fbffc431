"""Keep refusals of repeated calls true."""

import result

from hibiscussaddle import codes
from hibiscussaddle import exchange
from hibiscussaddle import filters
from hibiscussaddle import runtime as runtime_lib

TICKET_HEADER = "idempotency-key"
# The handler compared these with the issuer's ledger.
_DECIDED = frozenset((codes.Code.TICKET_NOT_STARTED,))


@filters.request_filter("repeats")
def create_filter(runtime: runtime_lib.Runtime) -> filters.Filter:
    """Return the filter.

    A limit, a missing contract or a stop refuses a repeat with "not run"
    without looking at its ticket, although the first call may have run.
    """

    async def call(
        req: exchange.Request, following: exchange.Handler
    ) -> exchange.Outcome:
        outcome = await following(req)
        text = req.headers.get(TICKET_HEADER)
        if not text or isinstance(outcome, result.Ok):
            return outcome
        refusal = outcome.err_value
        if refusal.code.value.ran != "no" or refusal.code in _DECIDED:
            return outcome
        if ("decided", "issuer") in refusal.details:
            return outcome
        if not _may_have_run(runtime, text):
            return outcome
        return exchange.refuse(
            codes.Code.OUTCOME_UNKNOWN,
            f"the repeat was refused ({refusal.message}); "
            "the first call with this ticket may have run",
            refusal.retry_after,
        )

    return call


def _may_have_run(runtime: runtime_lib.Runtime, text: str) -> bool:
    parsed = runtime.ledger.parse(text)
    if isinstance(parsed, result.Err):
        return False
    ticket = parsed.ok_value
    if not runtime.ledger.is_own(ticket):
        return True
    return runtime.ledger.may_have_run(ticket, runtime.clock())
