"""Command line of the service and its operators."""

import functools
import getpass
import json
import os
import sys
import typing

import anyio
import fire
import result

from hibiscussaddle import __version__
from hibiscussaddle import codes as result_codes
from hibiscussaddle import entry as entry_lib
from hibiscussaddle import logs
from hibiscussaddle import operator_client
from hibiscussaddle import settings as settings_lib
from hibiscussaddle import tables

DEFAULT_ADDRESS: typing.Final = "127.0.0.1:8081"


def _fail(refusal: result_codes.Refusal) -> typing.NoReturn:
    info = refusal.code.value
    sys.stderr.write(
        f"error {info.number} {info.name}: {refusal.message}\n"
        f"work ran: {info.ran}\n"
        f"what to do: {info.advice}\n"
    )
    raise SystemExit(info.exit_status)


def _unwrap(
    outcome: result.Result[typing.Any, result_codes.Refusal],
) -> typing.Any:
    if isinstance(outcome, result.Err):
        _fail(outcome.err_value)
    return outcome.ok_value


def _call(
    address: str, method: str, path: str, body: object = None
) -> typing.Any:
    address = address or os.environ.get(
        "HIBISCUSSADDLE_ADDRESS", DEFAULT_ADDRESS
    )
    secret = os.environ.get("HIBISCUSSADDLE_OPERATOR_SECRET", "")
    return _unwrap(operator_client.call(address, secret, method, path, body))


def _print(found: object, output: str) -> None:
    if output not in ("json", "table"):
        _fail(
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


def _environ() -> dict[str, str]:
    own = {"HIBISCUSSADDLE_ADDRESS"}
    return {k: v for k, v in os.environ.items() if k not in own}


class ContractCommands:
    """Read and change contracts."""

    def list(self, address: str = "", output: str = "table") -> None:
        """List the contracts in force on an instance."""
        found = _call(address, "GET", "/v1/contracts")
        _print(found["contracts"], output)

    def get(
        self, customer: str, address: str = "", output: str = "json"
    ) -> None:
        """Print the contract of one customer."""
        _print(_call(address, "GET", f"/v1/contracts/{customer}"), output)

    def set(
        self,
        file: str,
        revision: int,
        reason: str,
        who: str = "",
        address: str = "",
        output: str = "json",
    ) -> None:
        """Change a contract from a JSON file, seen at a revision."""
        try:
            with open(file, encoding="utf-8") as source:
                document = json.load(source)
            customer = document["customer"]
        except (OSError, ValueError, KeyError, TypeError) as exc:
            _fail(
                result_codes.Refusal(
                    result_codes.Code.CONTRACT_INVALID,
                    f"file {file!r} is not a contract: {exc}",
                )
            )
        body = {
            "contract": document,
            "expected_revision": revision,
            "who": who or getpass.getuser(),
            "reason": reason,
        }
        answer = _call(address, "PUT", f"/v1/contracts/{customer}", body)
        _print(answer, output)


class Commands:
    """Run and operate the rollout service."""

    def __init__(self) -> None:
        """Group the operators' commands."""
        self.contract = ContractCommands()

    def entry(self, **flags: object) -> None:
        """Run an entry instance; flags are the settings."""
        cfg = _unwrap(settings_lib.load(flags, _environ()))
        logs.configure(cfg.log_level, cfg.instance, cfg.zone)
        anyio.run(entry_lib.run, cfg, backend_options={"use_uvloop": True})

    def settings(self, output: str = "table", **flags: object) -> None:
        """Print the settings that 'entry' would use."""
        cfg = _unwrap(settings_lib.load(flags, _environ()))
        _print(cfg.to_dict(), output)

    def standin(
        self, name: str, port: int, host: str = "127.0.0.1", **options: object
    ) -> None:
        """Run a small fake of an outside system."""
        # Imported here, so that an entry instance does not load the fakes.
        from hibiscussaddle.standins import run as standin_run

        if name not in standin_run.FACTORIES:
            known = ", ".join(sorted(standin_run.FACTORIES))
            _fail(
                result_codes.Refusal(
                    result_codes.Code.SETTING_INVALID,
                    f"stand-in {name!r} does not exist; allowed: {known}",
                )
            )
        logs.configure("info", f"standin-{name}", "-")
        job = functools.partial(standin_run.run, name, host, port, options)
        anyio.run(job)

    def status(self, address: str = "", output: str = "table") -> None:
        """Print the state of an entry instance."""
        _print(_call(address, "GET", "/v1/status"), output)

    def codes(self) -> None:
        """Print the table of result codes."""
        sys.stdout.write(result_codes.render_table())

    def version(self) -> None:
        """Print the version."""
        sys.stdout.write(__version__ + "\n")


def main() -> None:
    """Run one command."""
    fire.Fire(Commands(), name="hibiscussaddle")
