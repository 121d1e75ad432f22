"""Messages and settings, generated from schema/ by scripts/generate."""
