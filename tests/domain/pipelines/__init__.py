"""Tests of the package domain pipelines."""
