"""Configuration: versioned document, patches and distribution to the routers."""
