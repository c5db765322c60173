"""Tests of the package adapters targets."""
