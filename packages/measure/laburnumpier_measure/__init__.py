"""Demo, load and measurement tools over the stand-ins."""
