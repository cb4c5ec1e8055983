"""The platform's transactional table and instance list."""
