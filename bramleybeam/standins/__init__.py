"""In-memory stand-ins for the platform's services, for tests and the demo.

They implement the published interfaces of a model engine, the weight store,
the key-value service, the list of hosts and a plain HTTP service. Within the
package only ``demo`` imports them.
"""

from bramleybeam.standins._answers import answer_tokens, prompt_of
from bramleybeam.standins._engine import EngineStandIn
from bramleybeam.standins._engine_http import make_engine_app
from bramleybeam.standins._engine_parts import EngineSettings
from bramleybeam.standins._hosts import HostListStandIn, HostRecord
from bramleybeam.standins._keyvalue import KeyValueStandIn
from bramleybeam.standins._ledger import LedgerStandIn
from bramleybeam.standins._weights import WeightStoreStandIn

__all__ = [
    'EngineSettings',
    'EngineStandIn',
    'HostListStandIn',
    'HostRecord',
    'KeyValueStandIn',
    'LedgerStandIn',
    'WeightStoreStandIn',
    'answer_tokens',
    'make_engine_app',
    'prompt_of',
]
