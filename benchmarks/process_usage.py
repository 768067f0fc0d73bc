"""Resource usage of a process, as the kernel counts it."""

from __future__ import annotations

import asyncio
import re
import time
from dataclasses import dataclass
from pathlib import Path

import psutil

BYTES_PER_MB = 1e6


@dataclass(frozen=True, slots=True)
class ProcessUsage:
    """Resource usage of a process within a period."""

    since: float
    """Unix time in s at which the period starts."""
    cpu_percent: float
    """Processor time in percent of one core."""
    bytes_read_per_second: float


async def measure_usage(process: psutil.Process, seconds: float) -> ProcessUsage:
    """Wait for `seconds` and return what the process used in that time."""
    cpu_before, since = process.cpu_times(), time.time()
    io_before = process.io_counters()
    await asyncio.sleep(seconds)
    cpu_after, elapsed = process.cpu_times(), time.time() - since
    cpu_time = cpu_after.user + cpu_after.system - cpu_before.user - cpu_before.system
    bytes_read = process.io_counters().read_chars - io_before.read_chars
    return ProcessUsage(since, 100 * cpu_time / elapsed, bytes_read / elapsed)


def resident_memory(process: psutil.Process) -> float:
    """Return the resident memory of a process in MB."""
    return float(process.memory_info().rss) / BYTES_PER_MB


def peak_memory(pid: int) -> float:
    """Return the peak resident memory of a process in MB, or 0 if the kernel doesn't report it."""
    status = Path(f"/proc/{pid}/status").read_text()
    match = re.search(r"VmHWM:\s+(\d+) kB", status)
    return int(match[1]) * 1024 / BYTES_PER_MB if match else 0.0
