"""Decides who gives up memory when the byte budget of a process is spent."""

from bramleybeam.memory_budget._account import Account, Holding
from bramleybeam.memory_budget._budget import MemoryBudget
from bramleybeam.memory_budget._sizes import budget_bytes

__all__ = ['Account', 'Holding', 'MemoryBudget', 'budget_bytes']
