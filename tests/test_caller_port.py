"""Test TLS, metrics and log lines of the caller port."""

import logging
import pathlib
import ssl

import anyio
import httpx
import pytest

from hibiscussaddle import caller_app
import stack as stack_lib

# Self-signed for 127.0.0.1; tests/data/server.key signs nothing else.
DATA = pathlib.Path(__file__).parent / "data"
CERT, KEY = DATA / "server.pem", DATA / "server.key"


def test_tls_port_streams_and_rejects_plain_text() -> None:
    """Fails when the TLS settings are ignored or interrupt a stream."""

    async def main() -> None:
        tls = {"tls_cert": str(CERT), "tls_key": str(KEY)}
        async with stack_lib.run(**tls) as stack:
            await stack.add_engine()
            cfg = stack.runtime.cfg
            app = caller_app.create_app(stack.runtime)
            address = await stack.serve(app, cfg.tls_cert, cfg.tls_key)
            trusted = ssl.create_default_context(cafile=str(CERT))
            async with httpx.AsyncClient(
                base_url=address, verify=trusted, trust_env=False
            ) as client:
                stack.caller, plain = client, stack.caller
                async with stack.generate(400) as resp:
                    text = (await resp.aread()).decode()
                events, is_complete = stack_lib.read_events(text)
                assert is_complete
                assert sum(event["tokens"] for event in events) == 400
                with pytest.raises(httpx.HTTPError):
                    await plain.get(address.replace("https", "http", 1))

    anyio.run(main)


def test_metrics_count_requests_by_kind_and_code() -> None:
    """Fails when a refused, finished or running request is not counted."""

    async def main() -> None:
        async with stack_lib.run() as stack:
            engine = await stack.add_engine()
            await stack.ticket()
            await stack.caller.post("/v1/tickets")
            engine.cfg = type(engine.cfg)("slow", token_seconds=0.01)
            async with stack.generate(4000) as resp:
                await anext(resp.aiter_bytes())
                metrics = (await stack.caller.get("/metrics")).text
            lines = metrics.splitlines()
            name = "hibiscussaddle_requests_total"
            assert f'{name}{{code="1000",kind="ticket"}} 1' in lines
            assert f'{name}{{code="1110",kind="ticket"}} 1' in lines
            name = "hibiscussaddle_requests_running"
            assert f'{name}{{kind="model"}} 1' in lines
            name = "hibiscussaddle_request_seconds"
            assert f'{name}_count{{kind="ticket"}} 2.0' in lines

    anyio.run(main)


def test_each_request_has_one_log_line(
    caplog: pytest.LogCaptureFixture,
) -> None:
    """Fails when a line lacks the request ID, customer or result code."""

    async def main() -> None:
        async with stack_lib.run() as stack:
            engine = await stack.add_engine()
            budget = stack.runtime.callers.retry_budget
            # Without retries, each crash ends its response with code 1402.
            while budget.withdraw_retry():
                pass
            for _ in range(5):
                engine.crash_after_tokens = 4
                async with stack.generate(
                    8, **{"x-request-id": "call-7"}
                ) as resp:
                    await resp.aread()
            headers = {"x-request-id": "no spaces allowed"}
            await stack.caller.post("/v1/tickets", headers=headers)

    with caplog.at_level(logging.INFO):
        anyio.run(main)
    lines = [
        record.getMessage()
        for record in caplog.records
        if record.getMessage().startswith("event=request ")
    ]
    assert len(lines) == 6
    for line in lines[:5]:
        assert "request_id=call-7 customer=cereza kind=model code=1402" in line
    assert "code=1111" in lines[5]
    assert "customer=-" in lines[5]
