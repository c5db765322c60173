"""Tests of the package tools."""
