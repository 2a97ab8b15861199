package main

// configuration returns the operator's configuration: one plain service, one route, tenants
// without limits.
func configuration(version int) map[string]any {
	tenant := func(name, key string) map[string]any {
		return map[string]any{
			"name": name, "api_keys": []string{key}, "priority": 0, "unit": "tokens", "plain_tokens": 200, "rate_per_s": 0, "burst": 0,
		}
	}
	return map[string]any{
		"version": version,
		"routes": []any{map[string]any{
			"name": "orders", "host": hostName, "path_prefix": "/orders/", "kind": "non_idempotent", "timeout_ms": 800,
			"target_latency_ms": 300, "priority": 2, "service": "kit-orders", "max_attempts": 1,
		}},
		"services": []any{map[string]any{"name": "kit-orders", "health_path": "/health", "max_connections": 100}},
		"tenants":  []any{tenant("huka270", "key-a"), tenant("puhu251", "key-b")},
		"limits": map[string]any{
			"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 5000, "idle_timeout_ms": 10000,
		},
	}
}
