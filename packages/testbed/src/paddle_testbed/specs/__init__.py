"""Specifications for the model checker, run by :mod:`paddle_testbed.model`.

Each module defines ``SPECS``, which have to hold, and ``DEFECTS``, the same
models with a seeded defect that the checker has to refute.
"""
"""Specifications for the model checker, one module per protocol."""
