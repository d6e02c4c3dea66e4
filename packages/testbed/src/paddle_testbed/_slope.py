"""Registry of the measured parts and their helpers."""

import gc
import time

import paddle_kernel as kernel

KIB = 1_024
parts = kernel.Registry('slope part')


class Part:
    """A measured function and the sizes it runs at."""

    def __init__(self, sizes, unit, function):
        self.sizes = sizes
        self.unit = unit
        self.function = function


def part(name, *, sizes, unit):
    """Return a decorator that registers a function of a size."""

    def decorate(function):
        parts.register(name)(lambda: Part(sizes, unit, function))
        return function

    return decorate


def resident_bytes():
    """Return the resident memory of this process after a collection."""
    gc.collect()
    return kernel.process_state()['resident_kb'] * KIB


def cpu_s():
    """Return the processor time of this process in s."""
    return time.process_time()
