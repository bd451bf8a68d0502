package main

// The names of the services and routes that the cases use.
const (
	appService = "roster-app"
	llmService = "roster-llm"
)

// siteConfig returns a configuration like that of whistlepath-ne: times, attempts and limits are
// those of its sheet and of its messages as the bench prints them.
func siteConfig(version int) map[string]any {
	route := func(name, prefix, kind, service string, timeoutMS, targetMS, attempts int, resumable bool) map[string]any {
		return map[string]any{
			"name": name, "host": host, "path_prefix": prefix, "kind": kind, "timeout_ms": timeoutMS, "latency_target_ms": targetMS, "priority": 1,
			"service": service, "attempts": attempts, "public": false, "sticky": kind == "streaming", "resumable": resumable, "gap_aim_ms": 600,
		}
	}
	return map[string]any{
		"version": version,
		"routes": []any{
			route("swap-confirm", "/swap/", "non_idempotent", appService, 800, 150, 1, false),
			route("assignment-lookup", "/lookup/", "idempotent", appService, 800, 150, 2, false),
			route("conflict-explainer", "/explain/", "streaming", llmService, 12000, 600, 1, false),
			route("season-slate-draft", "/draft/", "streaming", llmService, 15000, 1000, 2, true),
		},
		"services": []any{
			map[string]any{"name": appService, "health_path": "/healthz", "max_conns": 110, "protocol": "h1", "tls": false},
			map[string]any{"name": llmService, "health_path": "/healthz", "max_conns": 370, "protocol": "h1", "tls": false, "engine": map[string]any{"slots": 9, "kv_tokens": 539716, "stride": 6}},
		},
		"limits":  map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		"tenants": []any{map[string]any{"name": "hule930", "api_keys": []string{apiKey}, "priority": 1, "unit": "token_count", "plain_tokens": 200, "rate_per_s": 0, "burst": 0}},
	}
}
