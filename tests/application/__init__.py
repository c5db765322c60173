"""Tests of the package application."""
