"""Report the status of this instance."""

import collections

import result
from starlette import requests

from hibiscussaddle import operations
from hibiscussaddle import runtime as runtime_lib


@operations.operation("GET", "/v1/status")
async def get_status(
    runtime: runtime_lib.Runtime, _: requests.Request
) -> operations.Outcome:
    """Return the state of this instance."""
    return result.Ok(
        {
            "instance": runtime.cfg.instance,
            "incarnation": runtime.incarnation,
            "zone": runtime.cfg.zone,
            "phase": runtime.lifecycle.phase.value,
            "running": runtime.lifecycle.total_running(),
            "endpoints": len(runtime.directory.all()),
            # Seconds since the store last confirmed the contracts.
            "contracts_age_seconds": runtime.contracts.age(),
            "members": collections.Counter(
                member.state.value for member in runtime.members.all()
            ),
            "peer_bytes_sent": runtime.peers.bytes_sent,
            "peer_bytes_received": runtime.peers.bytes_received,
            "contracts": {
                record.contract.customer: record.revision
                for record in runtime.contracts.all()
            },
        }
    )
