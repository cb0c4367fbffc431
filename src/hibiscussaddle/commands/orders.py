"""Send orders about endpoints and instances."""

import getpass
import sys
import typing
from urllib import parse

from hibiscussaddle import codes as result_codes
from hibiscussaddle.commands import console


def send(
    address: str, kind: str, target: str, verb: str, reason: str, output: str
) -> None:
    """Send one order, print the answer and exit by its code."""
    path = f"/v1/{kind}/{parse.quote(str(target), safe='')}/{verb}"
    body = {"who": getpass.getuser(), "reason": reason}
    answer: dict[str, typing.Any] = console.call(address, "POST", path, body)
    console.show(answer, output)
    if not answer.get("not_reached"):
        return
    info = result_codes.Code.PARTLY_REACHED.value
    names = ", ".join(item["instance"] for item in answer["not_reached"])
    sys.stderr.write(
        f"error {info.number} {info.name}: not reached: {names}\n"
        f"work ran: {info.ran}\n"
        f"what to do: {info.advice}\n"
    )
    raise SystemExit(info.exit_status)
