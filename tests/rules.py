"""The one rule checker, which is the rehearsal's too: all fronts and emulated days are held against it."""

from wickvane.rehearsal.rules import PROVEN, Figures, Seen

__all__ = ["PROVEN", "Figures", "Seen"]
