"""Request routing: configuration, load balancing and forwarding."""
