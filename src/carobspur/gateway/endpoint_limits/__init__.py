"""Rate limits that endpoints name in their answers, shared by all gateways."""
