"""Services of an entry on the platform: routes, streams, calls, placement."""
