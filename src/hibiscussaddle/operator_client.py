"""Client of the operator port, used by the command line."""

import typing

import httpx
import result

from hibiscussaddle import codes
from hibiscussaddle import decoding

TIMEOUT_SECONDS: typing.Final = 30.0


def call(
    address: str,
    secret: str,
    method: str,
    path: str,
    body: object = None,
) -> result.Result[typing.Any, codes.Refusal]:
    """Call one operation of an instance; gateways need no secret."""
    base = address if "://" in address else f"http://{address}"
    headers = {"authorization": f"Bearer {secret}"} if secret else {}
    try:
        resp = httpx.request(
            method,
            base + path,
            json=body,
            headers=headers,
            timeout=TIMEOUT_SECONDS,
            trust_env=False,
        )
    except httpx.HTTPError as exc:
        message = (
            f"the call to the instance at {address} failed: "
            f"{exc or type(exc).__name__}"
        )
        return result.Err(codes.Refusal(codes.Code.UNREACHABLE, message))
    if resp.is_success:
        return result.Ok(decoding.decode_json(resp.content))
    return result.Err(_to_refusal(resp))


def _to_refusal(resp: httpx.Response) -> codes.Refusal:
    try:
        fields = decoding.decode_json(resp.content)
        code = codes.BY_NUMBER[int(fields["code"])]
        return codes.Refusal(code, str(fields["message"]))
    except (ValueError, KeyError, TypeError):
        return codes.Refusal(
            codes.Code.INTERNAL,
            f"HTTP status {resp.status_code} without a result code",
        )
