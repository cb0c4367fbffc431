"""Commands that read and change contracts."""

import getpass
import json

from hibiscussaddle import codes as result_codes
from hibiscussaddle.commands import console


class ContractCommands:
    """Read and change contracts."""

    def list(self, address: str = "", output: str = "table") -> None:
        """List the contracts in force on an instance."""
        found = console.call(address, "GET", "/v1/contracts")
        console.show(found["contracts"], output)

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
        address: str = "",
        output: str = "json",
    ) -> None:
        """Change a contract from a JSON file, seen at a revision."""
        try:
            with open(file, encoding="utf-8") as source:
                document = json.load(source)
            customer = document["customer"]
        except (OSError, ValueError, KeyError, TypeError) as exc:
            console.fail(
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
        answer = console.call(
            address, "PUT", f"/v1/contracts/{customer}", body
        )
        console.show(answer, output)
