"""Types of a deployment: routes, accounts, services, targets."""
