"""Use cases of the router, written against ports that adapters implement."""
