"""Commands that read and change contracts."""

import datetime
import getpass
import secrets
import sys
import typing

from hibiscussaddle import codes as result_codes
from hibiscussaddle.commands import console
from hibiscussaddle import decoding


class ContractCommands:
    """Read and change contracts."""

    def list(self, address: str = "", output: str = "table") -> None:
        """List the contracts in force on an instance."""
        response = console.call(address, "GET", "/v1/contracts")
        console.show(response["contracts"], output)

    def get(
        self, customer: str, address: str = "", output: str = "json"
    ) -> None:
        """Print the contract of one customer."""
        console.show(
            console.call(address, "GET", f"/v1/contracts/{customer}"), output
        )

    def set(
        self,
        file: str,
        revision: int,
        reason: str,
        who: str = "",
        change_id: str = "",
        address: str = "",
        output: str = "json",
    ) -> None:
        """Set a contract from a JSON file if its revision is unchanged.

        The revision is the one that 'contract get' printed. To retry a
        change whose outcome is unknown, pass its change id again.
        """
        try:
            with open(file, encoding="utf-8") as source:
                document = decoding.decode_json(source.read())
            customer = document["customer"]
        except (OSError, ValueError, KeyError, TypeError) as exc:
            console.fail(
                result_codes.Refusal(
                    result_codes.Code.CONTRACT_INVALID,
                    f"file {file!r} is not a contract: {exc}",
                )
            )
        repeat = bool(change_id)
        change_id = str(change_id) or secrets.token_hex(8)
        sys.stderr.write(f"change id: {change_id}\n")
        body = {
            "change_id": change_id,
            "repeat": repeat,
            "contract": document,
            "expected_revision": revision,
            "who": who or getpass.getuser(),
            "reason": reason,
        }
        response = console.call(
            address, "PUT", f"/v1/contracts/{customer}", body
        )
        console.show(response, output)
        if response.get("unreached"):
            info = result_codes.Code.PARTLY_REACHED.value
            names = ", ".join(response["unreached"])
            sys.stderr.write(
                f"error {info.number} {info.name}: not reached: {names}\n"
                f"work ran: {info.ran}\n"
                f"what to do: {info.advice}\n"
            )
            raise SystemExit(info.exit_status)

    def history(
        self,
        customer: str,
        archive: int | None = None,
        address: str = "",
        output: str = "table",
    ) -> None:
        """List accepted and refused changes, oldest first.

        Archived entries are listed with --archive and the number that the
        previous listing printed.
        """
        path = f"/v1/contracts/{customer}/history"
        if archive is not None:
            path += f"?archive={archive}"
        response = console.call(address, "GET", path)
        if output == "json":
            console.show(response, output)
            return
        rows = [_to_row(entry) for entry in response["entries"]]
        console.show(rows, output)
        if response["archive"] is not None:
            sys.stderr.write(
                f"older entries: --archive {response['archive']}\n"
            )


def _to_row(entry: dict[str, typing.Any]) -> dict[str, object]:
    """Return one row of the history, with only the fields that changed."""
    before, after = entry["before"] or {}, entry["after"] or {}
    changed = {
        name: f"{before.get(name)} -> {value}"
        for name, value in after.items()
        if before.get(name) != value
    }
    at = datetime.datetime.fromtimestamp(entry["at"], datetime.UTC)
    return {
        "at": at.isoformat(timespec="seconds"),
        "who": entry["who"],
        "outcome": entry["outcome"],
        "revision": entry["revision"],
        "change_id": entry["change_id"],
        "changed": changed,
        "reason": entry["reason"],
    }
