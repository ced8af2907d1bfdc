"""Membership: announcements and directories of entries and sidecars."""

from sardinestair.membership.announcer import Announcer
from sardinestair.membership.choice import choose_entries
from sardinestair.membership.evacuation import EvacuationRegister
from sardinestair.membership.pauses import PauseMonitor
from sardinestair.membership.peers import Peer, PeerDirectory
from sardinestair.membership.roster import Roster

__all__ = [
    "Announcer",
    "EvacuationRegister",
    "PauseMonitor",
    "Peer",
    "PeerDirectory",
    "Roster",
    "choose_entries",
]
