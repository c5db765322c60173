"""The ledger of actions: routing of proposals and writing of pages."""
