"""Discrete-event simulation of engines, weight store and arrivals.

It runs the gateway's own code for queueing, choosing replicas and ordering
loads and unloads, in virtual time and without sockets. A simulated day of load
takes seconds and gives the same result for the same seed.
"""

from bramleybeam.simulation._arrivals import (
    Arrival,
    LoadSpec,
    RequestClass,
    draw_arrivals,
)
from bramleybeam.simulation._day import simulate_day
from bramleybeam.simulation._engine import EngineModel
from bramleybeam.simulation._engine_request import EngineRequest
from bramleybeam.simulation._loop import VirtualLoop, run_in_virtual_time
from bramleybeam.simulation._results import DayResult, RequestOutcome
from bramleybeam.simulation._sites import SITES

__all__ = [
    'SITES',
    'Arrival',
    'DayResult',
    'EngineModel',
    'EngineRequest',
    'LoadSpec',
    'RequestClass',
    'RequestOutcome',
    'VirtualLoop',
    'draw_arrivals',
    'run_in_virtual_time',
    'simulate_day',
]
