"""Result codes, errors, hashing, settings, logging and metrics shared by all packages."""
