"""A model of engines, weight store and arrivals, in virtual time.

It drives the gateway's own decisions - waiting, choice of replicas, orders -
without sockets, so that a day of load takes seconds and repeats exactly.
"""

from bramleybeam.simulation._arrivals import (
    Arrival,
    LoadSpec,
    RequestClass,
    draw_arrivals,
)
from bramleybeam.simulation._day import simulate_day
from bramleybeam.simulation._engine import EngineModel
from bramleybeam.simulation._loop import VirtualLoop, run_in_virtual_time
from bramleybeam.simulation._results import DayResult, RequestOutcome
from bramleybeam.simulation._run import Run
from bramleybeam.simulation._sites import SITES

__all__ = [
    'SITES',
    'Arrival',
    'DayResult',
    'EngineModel',
    'LoadSpec',
    'RequestClass',
    'RequestOutcome',
    'Run',
    'VirtualLoop',
    'draw_arrivals',
    'run_in_virtual_time',
    'simulate_day',
]
