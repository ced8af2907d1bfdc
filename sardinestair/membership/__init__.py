"""Membership: which entries and sidecars there are."""

from sardinestair.membership.roster import Roster

__all__ = ["Roster"]
