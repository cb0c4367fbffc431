"""Correct refusals of retried calls that may have run before."""

import result

from hibiscussaddle import codes
from hibiscussaddle import exchange
from hibiscussaddle import filters
from hibiscussaddle import runtime as runtime_lib

TICKET_HEADER = "idempotency-key"
# The handler has already checked these against the issuer's ledger.
_LEDGER_CODES = frozenset((codes.Code.TICKET_NOT_STARTED,))


@filters.request_filter("repeats")
def create_filter(runtime: runtime_lib.Runtime) -> filters.Filter:
    """Return the filter.

    A limit, a missing contract or a stop refuses a retry with "not run"
    without checking its ticket, although an earlier call may have run.
    """

    async def call(
        req: exchange.Request, next_handler: exchange.Handler
    ) -> exchange.Outcome:
        outcome = await next_handler(req)
        ticket_text = req.headers.get(TICKET_HEADER)
        if not ticket_text or isinstance(outcome, result.Ok):
            return outcome
        refusal = outcome.err_value
        if refusal.code.value.ran != "no" or refusal.code in _LEDGER_CODES:
            return outcome
        if ("decided", "issuer") in refusal.details:
            return outcome
        if not _may_have_run(runtime, ticket_text):
            return outcome
        return exchange.refuse(
            codes.Code.OUTCOME_UNKNOWN,
            f"the retry was refused ({refusal.message}); "
            "an earlier call with this ticket may have run",
            refusal.retry_after,
        )

    return call


def _may_have_run(runtime: runtime_lib.Runtime, ticket_text: str) -> bool:
    parsed = runtime.ledger.parse(ticket_text)
    if isinstance(parsed, result.Err):
        return False
    ticket = parsed.ok_value
    if not runtime.ledger.is_own(ticket):
        return True
    return runtime.ledger.may_have_run(ticket, runtime.clock())
