package main

// configuration returns the operator's configuration: a plain service and a model service with a
// route each, tenants without limits.
func configuration(version int) map[string]any {
	tenant := func(name, key string) map[string]any {
		return map[string]any{
			"name": name, "api_keys": []string{key}, "priority": 0, "unit": "tokens", "plain_tokens": 200, "rate_per_s": 0, "burst": 0,
		}
	}
	return map[string]any{
		"version": version,
		"routes": []any{
			map[string]any{
				"name": "orders", "host": hostName, "path_prefix": "/orders/", "kind": "non_idempotent", "timeout_ms": 800,
				"target_latency_ms": 300, "priority": 2, "service": "kit-orders", "max_attempts": 1,
			},
			map[string]any{
				"name": "size-ask", "host": hostName, "path_prefix": "/ask/", "kind": "streaming", "timeout_ms": 3000,
				"target_latency_ms": 500, "priority": 0, "service": "kit-model", "max_attempts": 2, "anonymous": false,
				"sticky": true, "resumable": true, "gap_aim_ms": 500,
			},
		},
		"services": []any{
			map[string]any{"name": "kit-orders", "health_path": "/health", "max_connections": 100},
			map[string]any{
				"name": "kit-model", "health_path": "/health", "max_connections": 360,
				"engine": map[string]any{
					"slots": engineSlots, "kv_capacity_tokens": 905886, "kv_bytes": 327680, "link_mbps": 550000.0, "moves": false,
					"backups": false, "stride": 6, "models": []any{map[string]any{"name": "m"}},
				},
			},
		},
		"tenants": []any{tenant("huka270", "key-a"), tenant("puhu251", "key-b")},
		"limits": map[string]any{
			"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 5000, "idle_timeout_ms": 10000,
		},
	}
}
