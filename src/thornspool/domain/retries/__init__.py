"""Retry budgets and backoff."""
