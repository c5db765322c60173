"""Use cases of configuration: publishing and replication to entries."""
