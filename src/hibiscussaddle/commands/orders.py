"""Send changes of endpoints and instances to the operator port."""

import getpass
import sys
import typing
from urllib import parse

from hibiscussaddle import codes as result_codes
from hibiscussaddle.commands import console


def send(
    address: str, kind: str, target: str, verb: str, reason: str, output: str
) -> None:
    """Send one change, print the response, fail if it missed instances."""
    path = f"/v1/{kind}/{parse.quote(str(target), safe='')}/{verb}"
    body = {"who": getpass.getuser(), "reason": reason}
    response: dict[str, typing.Any] = console.call(address, "POST", path, body)
    console.show(response, output)
    if not response.get("not_reached"):
        return
    info = result_codes.Code.PARTLY_REACHED.value
    names = ", ".join(item["instance"] for item in response["not_reached"])
    sys.stderr.write(
        f"error {info.number} {info.name}: not reached: {names}\n"
        f"work ran: {info.ran}\n"
        f"what to do: {info.advice}\n"
    )
    raise SystemExit(info.exit_status)
