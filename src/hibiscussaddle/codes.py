"""Numbered result codes shared by the service, its clients and its logs."""

import dataclasses
import enum
import typing

# Whether the work of a request ran on a back end.
Ran = typing.Literal["no", "unknown", "yes"]


@dataclasses.dataclass(frozen=True)
class CodeInfo:
    """Describe one result code: whether the work ran and what to do."""

    number: int
    name: str
    ran: Ran
    http_status: int
    exit_status: int
    meaning: str
    advice: str


class Code(enum.Enum):
    """List every result code; the value is its description."""

    OK = CodeInfo(1000, "ok", "yes", 200, 0, "The work is done.", "None.")
    STOPPING = CodeInfo(
        1101,
        "stopping",
        "no",
        503,
        11,
        "The instance is shutting down and takes no new work.",
        "Send the request again; the balancer picks another instance.",
    )
    NOT_READY = CodeInfo(
        1102,
        "not_ready",
        "no",
        503,
        11,
        "The instance has no contracts or no configuration yet.",
        "Send the request again; check the store if it persists.",
    )
    KEYS_OUTDATED = CodeInfo(
        1103,
        "keys_outdated",
        "no",
        503,
        11,
        "The instance can't confirm which keys hold now.",
        "Send the request again after the Retry-After time.",
    )
    UNAUTHORIZED = CodeInfo(
        1110,
        "unauthorized",
        "no",
        401,
        12,
        "The key or the operators' secret is missing or wrong.",
        "Check the key against the customer's contract or the workspaces.",
    )
    BAD_REQUEST = CodeInfo(
        1111,
        "bad_request",
        "no",
        400,
        13,
        "The request is malformed; the message names the field.",
        "Correct the named field.",
    )
    TOO_LARGE = CodeInfo(
        1112,
        "too_large",
        "no",
        413,
        13,
        "The body or a header exceeds the size limit.",
        "Send a smaller request.",
    )
    NOT_FOUND = CodeInfo(
        1113,
        "not_found",
        "no",
        404,
        14,
        "No such path, customer, instance, endpoint, service or batch.",
        "List the known names with the command line.",
    )
    BODY_INCOMPLETE = CodeInfo(
        1114,
        "body_incomplete",
        "no",
        408,
        15,
        "The body was not complete before its deadline.",
        "Send the request again on a new connection.",
    )
    OVERLOADED = CodeInfo(
        1120,
        "overloaded",
        "no",
        429,
        15,
        "A limit of the contract or of the instance is reached.",
        "Send the request again after the Retry-After time.",
    )
    DEADLINE_TOO_SHORT = CodeInfo(
        1121,
        "deadline_too_short",
        "no",
        429,
        15,
        "The work could not start or end before its deadline.",
        "Send it again later or allow more time.",
    )
    NO_ENDPOINT = CodeInfo(
        1122,
        "no_endpoint",
        "no",
        503,
        16,
        "No endpoint of this kind may take new work.",
        "Check 'endpoint list' for leave marks and ejected endpoints.",
    )
    RATE_LIMITED = CodeInfo(
        1123,
        "rate_limited",
        "no",
        503,
        16,
        "The endpoints that accept work have reached their rate limits.",
        "Retry after the given time; see 'fleet endpoints' for the limits.",
    )
    MEMORY_FULL = CodeInfo(
        1124,
        "memory_full",
        "no",
        503,
        16,
        "The instance holds as many bytes for callers as its memory allows.",
        "Retry after the given time; see docs/OPERATIONS.md for its callers.",
    )
    STREAM_VERSION_GONE = CodeInfo(
        1125,
        "stream_version_gone",
        "no",
        503,
        16,
        "No endpoint has the software version that began the stream.",
        "Discard the events received so far and begin a new stream.",
    )
    STREAM_VERSION_UNKNOWN = CodeInfo(
        1126,
        "stream_version_unknown",
        "no",
        503,
        16,
        "The software version that began the stream isn't known.",
        "Retry after the given time, or begin a new stream.",
    )
    TICKET_REQUIRED = CodeInfo(
        1201,
        "ticket_required",
        "no",
        428,
        17,
        "A non-idempotent call came without a ticket; a new one is issued.",
        "Keep the ticket and send the call with it as Idempotency-Key.",
    )
    TICKET_INVALID = CodeInfo(
        1202,
        "ticket_invalid",
        "no",
        400,
        17,
        "The ticket is forged or belongs to another customer.",
        "Get a ticket from POST /v1/tickets.",
    )
    OUTCOME_UNKNOWN = CodeInfo(
        1203,
        "outcome_unknown",
        "unknown",
        502,
        18,
        "The work may have run; the result is not known here.",
        "Repeat with the same ticket, then check the back end's records.",
    )
    TICKET_BUSY = CodeInfo(
        1204,
        "ticket_busy",
        "unknown",
        409,
        18,
        "The first call with this ticket is still running.",
        "Repeat with the same ticket for its result.",
    )
    TICKET_NOT_STARTED = CodeInfo(
        1205,
        "ticket_not_started",
        "no",
        409,
        17,
        "The instance that issued the ticket ended before the call started.",
        "Get a new ticket and send the call again.",
    )
    STEP_UNKNOWN = CodeInfo(
        1301,
        "step_unknown",
        "no",
        404,
        19,
        "This instance does not know the step.",
        "Open the step again with the same body, then pull.",
    )
    STEP_CONFLICT = CodeInfo(
        1302,
        "step_conflict",
        "no",
        409,
        19,
        "The step is already open with a different body.",
        "Use a new step name.",
    )
    PULL_STALE = CodeInfo(
        1303,
        "pull_stale",
        "no",
        409,
        19,
        "A later pull of this step has already got a response.",
        "Continue with the latest pull number.",
    )
    BATCH_ID_TAKEN = CodeInfo(
        1304,
        "batch_id_taken",
        "no",
        409,
        19,
        "Another workspace has a batch with this ID.",
        "Submit the batch under a new ID.",
    )
    ENDPOINT_REFUSED = CodeInfo(
        1401,
        "endpoint_refused",
        "no",
        502,
        16,
        "Every endpoint tried refused the work before it started.",
        "Send the request again; check 'endpoint list'.",
    )
    STREAM_BROKEN = CodeInfo(
        1402,
        "stream_broken",
        "unknown",
        502,
        18,
        "The response could not be completed.",
        "Discard the partial response and send the request again.",
    )
    BACK_END_TIMEOUT = CodeInfo(
        1403,
        "back_end_timeout",
        "unknown",
        504,
        18,
        "The back end did not respond before the deadline.",
        "Send idempotent work again; repeat other calls by ticket only.",
    )
    ENDS_ENDPOINTS = CodeInfo(
        1404,
        "ends_endpoints",
        "unknown",
        502,
        18,
        "Endpoints ended while they worked on this request.",
        "Don't send it again; see docs/OPERATIONS.md for its caller.",
    )
    CONTRACT_INVALID = CodeInfo(
        1501,
        "contract_invalid",
        "no",
        422,
        21,
        "The contract is malformed; the message names the field.",
        "Correct the field to the range shown.",
    )
    CONTRACT_CONFLICT = CodeInfo(
        1502,
        "contract_conflict",
        "no",
        409,
        22,
        "Another change was stored first; its revision is given.",
        "Read the contract again and repeat the change if still needed.",
    )
    NOT_ACCEPTED = CodeInfo(
        1503,
        "not_accepted",
        "no",
        503,
        23,
        "The store did not accept the change; the old contract applies.",
        "Wait until 'status' shows the store up, then repeat.",
    )
    ACCEPTANCE_UNKNOWN = CodeInfo(
        1504,
        "acceptance_unknown",
        "unknown",
        504,
        24,
        "The store may have accepted the change; it could not be read back.",
        "Read it back before repeating; 'contract history' has change ids.",
    )
    PARTLY_REACHED = CodeInfo(
        1505,
        "partly_reached",
        "yes",
        200,
        25,
        "The change is stored; some instances have not confirmed it.",
        "Watch 'instance list' until the missing ones show it.",
    )
    STORE_UNAVAILABLE = CodeInfo(
        1506,
        "store_unavailable",
        "no",
        503,
        23,
        "The store could not be read.",
        "Wait until 'status' shows the store up, then repeat.",
    )
    SETTING_INVALID = CodeInfo(
        1601,
        "setting_invalid",
        "no",
        400,
        2,
        "A flag or an environment variable is invalid.",
        "Correct the named setting to the range shown.",
    )
    UNREACHABLE = CodeInfo(
        1602,
        "unreachable",
        "unknown",
        503,
        26,
        "The command line could not reach the entry instance.",
        "Try another instance with --address.",
    )
    INTERNAL = CodeInfo(
        1901,
        "internal",
        "unknown",
        500,
        70,
        "An unexpected error; the log has the stack trace.",
        "Report it with the request id.",
    )


BY_NUMBER: typing.Final = {code.value.number: code for code in Code}


@dataclasses.dataclass(frozen=True)
class Refusal:
    """Describe why work was refused or failed, in place of an exception."""

    code: Code
    message: str
    retry_after: float | None = None
    details: tuple[tuple[str, str], ...] = ()

    def to_dict(self) -> dict[str, object]:
        """Return the JSON body of the refusal."""
        info = self.code.value
        body: dict[str, object] = {
            "code": info.number,
            "name": info.name,
            "ran": info.ran,
            "message": self.message,
            "advice": info.advice,
        }
        body.update(dict(self.details))
        return body


def render_table() -> str:
    """Return the content of docs/result-codes.md."""
    lines = [
        "# Result codes",
        "",
        "Generated by `make codes`; a test compares it with the code.",
        "",
        "| code | name | did the work run | HTTP | exit | meaning | "
        "what to do |",
        "| --- | --- | --- | --- | --- | --- | --- |",
    ]
    for code in Code:
        info = code.value
        lines.append(
            f"| {info.number} | {info.name} | {info.ran} "
            f"| {info.http_status} | {info.exit_status} "
            f"| {info.meaning} | {info.advice} |"
        )
    return "\n".join(lines) + "\n"
