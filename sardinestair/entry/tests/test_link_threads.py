"""An entry serves all its links in the same threads."""

import functools
import threading

from sardinestair.entry.process import EntryProcess
from sardinestair.ids import Incarnation
from sardinestair.limits.resources import Resources
from sardinestair.messages import Announce
from sardinestair.settings import EntrySettings
from sardinestair.settings.process import Address

SIDECARS = 20
CAPACITY = Resources(16000, 65536, 0)


def announce(number):
    return Announce(
        Incarnation(number.to_bytes(16, "big")), "tcp://127.0.0.1:1", "z",
        "quotes", 16000, False, 0, CAPACITY, True,
    )  # fmt: skip


# Guards against a thread for each link: an idle entry made thousands of system
# calls a second, as its threads contended for the interpreter lock.
def test_threads_of_an_entry_do_not_grow_with_its_links():
    address = Address("127.0.0.1", http_port=0, link_port=0)
    entry = EntryProcess(EntrySettings(address=address))
    entry.start()
    before = threading.active_count()
    for number in range(SIDECARS):
        entry.event_loop.call(
            functools.partial(entry.membership._answer, announce(number))
        )
    added = threading.active_count() - before
    entry._close_http()
    entry._shut_down()
    assert len(entry.dispatcher.links) == SIDECARS
    assert added == 0
