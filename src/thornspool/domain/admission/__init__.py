"""Admission of requests while engines have less memory than is needed."""
