"""Expected cost of requests and remaining work of endpoints; pure decisions."""
