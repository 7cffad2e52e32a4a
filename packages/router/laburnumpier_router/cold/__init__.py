"""Cold servers: which ones are cold, and permits that keep what they get within what they bear."""
