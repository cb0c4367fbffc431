"""Call the operator port and print responses and refusals."""

import json
import os
import sys
import typing

import result

from hibiscussaddle import codes as result_codes
from hibiscussaddle import operator_client
from hibiscussaddle import tables

DEFAULT_ADDRESS: typing.Final = "127.0.0.1:8081"


def fail(refusal: result_codes.Refusal) -> typing.NoReturn:
    """Print a refusal and exit with its exit status."""
    info = refusal.code.value
    sys.stderr.write(
        f"error {info.number} {info.name}: {refusal.message}\n"
        f"work ran: {info.ran}\n"
        f"what to do: {info.advice}\n"
    )
    raise SystemExit(info.exit_status)


def unwrap(
    outcome: result.Result[typing.Any, result_codes.Refusal],
) -> typing.Any:
    """Return the value, or print the refusal and exit."""
    if isinstance(outcome, result.Err):
        fail(outcome.err_value)
    return outcome.ok_value


def call(
    address: str, method: str, path: str, body: object = None
) -> typing.Any:
    """Call an operation of the instance at the address."""
    address = address or os.environ.get(
        "HIBISCUSSADDLE_ADDRESS", DEFAULT_ADDRESS
    )
    secret = os.environ.get("HIBISCUSSADDLE_OPERATOR_SECRET", "")
    return unwrap(operator_client.call(address, secret, method, path, body))


def show(found: object, output: str) -> None:
    """Print a response as JSON or as a table."""
    if output not in ("json", "table"):
        fail(
            result_codes.Refusal(
                result_codes.Code.SETTING_INVALID,
                f"flag 'output' has value {output!r}; allowed: json, table",
            )
        )
    if output == "json":
        text = json.dumps(found, indent=2, sort_keys=True)
    else:
        text = tables.render(found)
    sys.stdout.write(text + "\n")


def environ() -> dict[str, str]:
    """Return the environment without the command line's own variables."""
    client_variables = {"HIBISCUSSADDLE_ADDRESS"}
    return {
        name: value
        for name, value in os.environ.items()
        if name not in client_variables
    }
