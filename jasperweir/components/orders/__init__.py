"""Orders to engines, fenced by the revision that they carry out."""
