"""Specifications for the model checker, one module per protocol."""
