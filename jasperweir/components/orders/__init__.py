"""Orders to engines, fenced by the configuration revision."""
