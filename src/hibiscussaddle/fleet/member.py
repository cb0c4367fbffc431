"""What an instance says of itself to the others."""

import msgspec


class Member(msgspec.Struct, frozen=True):
    """Describe a live instance."""

    instance: str
    zone: str
    # Wall-clock milliseconds of the start of its process.
    incarnation: int
    # host:port at which peers reach it.
    peer_address: str = ""
    # It stops soon and takes nothing over.
    leaving: bool = False
    # By model, how many versions behind the newest one the batches that it
    # accepted allow.
    allowed_lags: dict[str, int] = {}
    # Processors that it may use; the strongest take the fleet's duties.
    cores: float = 0.0
    # It takes duties, and its key ends soon when it is lost.
    is_core: bool = False
