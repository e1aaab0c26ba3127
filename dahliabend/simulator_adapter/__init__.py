"""The simulator's wire: codec and instance host. No decisions here."""
