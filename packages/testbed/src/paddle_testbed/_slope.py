"""Registry of the measurements of ``slopes``, and helpers for them."""

import gc
import time

import paddle_kernel as kernel

KIB = 1_024
parts = kernel.Registry('slope part')


class Part:
    """A measurement function, the sizes it runs at, and the unit of size."""

    def __init__(self, sizes, unit, function):
        self.sizes = sizes
        self.unit = unit
        self.function = function


def part(name, *, sizes, unit):
    """Register the decorated function of a size as a measurement."""

    def decorate(function):
        parts.register(name)(lambda: Part(sizes, unit, function))
        return function

    return decorate


def resident_bytes():
    """Collect garbage and return the resident memory of this process."""
    gc.collect()
    return kernel.process_state()['resident_kb'] * KIB


def cpu_s():
    """Return the processor time of this process in s."""
    return time.process_time()
