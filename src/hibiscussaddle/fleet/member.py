"""The description that an instance publishes to the other members."""

import msgspec

from hibiscussaddle import decoding


class Member(msgspec.Struct, frozen=True):
    """Describe a live instance."""

    instance: str
    zone: str
    # Wall-clock time at which its process started, in milliseconds.
    incarnation: decoding.Int
    # host:port for peers.
    peer_address: str = ""
    # Whether it is draining and takes no more work over.
    leaving: bool = False
    # How many versions older than the newest one the weights of each model may
    # be: the smallest lag that any batch accepted by this instance allows.
    allowed_lags: dict[str, decoding.Count] = {}
    # Output tokens per second that the steps of each model ask for, by model
    # and route, as far as this instance owns their batches.
    demands: dict[str, dict[str, decoding.Count]] | msgspec.UnsetType = (
        msgspec.UNSET
    )
    # Processor capacity that it may use, in reference cores; the members of a
    # zone with the largest capacity are leader-eligible.
    cores: decoding.Amount = 0.0
    # Largest footprint of a batch that it accepts, in bytes of its account.
    # Members of builds before name none.
    batch_bytes: decoding.WholeAmount | msgspec.UnsetType = msgspec.UNSET
    # Whether its lease is short, for a fast failover of leader duties.
    is_leader_eligible: bool = msgspec.field(default=False, name="is_core")
