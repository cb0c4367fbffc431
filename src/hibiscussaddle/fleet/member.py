"""The description that an instance publishes to the other members."""

import msgspec


class Member(msgspec.Struct, frozen=True):
    """Describe a live instance."""

    instance: str
    zone: str
    # Wall-clock time at which its process started, in milliseconds.
    incarnation: int
    # host:port for peers.
    peer_address: str = ""
    # Whether it is draining and takes no more work over.
    leaving: bool = False
    # Number of versions by which the weights may lag behind the newest one,
    # by model: the smallest lag that the batches it accepted allow.
    allowed_lags: dict[str, int] = {}
    # Processor capacity that it may use; the largest members of a zone are
    # leader-eligible.
    cores: float = 0.0
    # Whether it is leader-eligible; its lease is short for a fast failover.
    is_core: bool = False
