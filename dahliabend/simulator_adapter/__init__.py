"""The bench's wire: codec, settings and instance host. No decisions here."""
