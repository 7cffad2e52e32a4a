"""Demo, benchmark and measurement programs that run on the stand-ins."""
