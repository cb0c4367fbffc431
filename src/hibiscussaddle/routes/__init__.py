"""Routes of requests: configuration, choice of endpoint, forwarding."""
