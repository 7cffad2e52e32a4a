"""Requests that reach servers through another router while this one is cut off from them."""
