"""The request path of an instance, on one event loop."""
