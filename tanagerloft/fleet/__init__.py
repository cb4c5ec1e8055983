"""What a deployment consists of: routes, accounts, services, targets."""
