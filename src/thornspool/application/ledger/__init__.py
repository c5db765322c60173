"""The ledger of actions: who writes its pages, and how."""
