"""Configuration: the numbered document, patches and distribution."""
