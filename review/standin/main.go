// Command standin plays the cases of the review: it starts the project's processes on loopback addresses, with stand-ins
// for the store, the replicas and the requesters around them, and judges by what those see.
package main

import (
	"fmt"
	"os"
)

// The exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

func main() {
	cases := map[string]func(*world) (int, error){"late-copy": playLateCopy, "left-replica": playLeftReplica}
	if len(os.Args) != 4 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin late-copy|left-replica PROGRAM RECORD")
		os.Exit(exitNotRun)
	}
	w, err := newWorld(os.Args[3], os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitNotRun)
	}
	code, err := cases[os.Args[1]](w)
	if err != nil {
		w.record.add("the case could not run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		code = exitNotRun
	}
	w.record.add("exit %d", code)
	w.stop()
	os.Exit(code)
}

// tenantKey is the key of the one tenant, which has no usage cap.
const tenantKey = "key-1"

func route(name, prefix, kind, service string, timeoutMs, attempts int, resumable bool) map[string]any {
	return map[string]any{
		"name": name, "host": "h.example", "prefix": prefix, "kind": kind, "timeout_ms": timeoutMs, "target_latency_ms": 1000,
		"priority": 1, "service": service, "max_attempts": attempts, "public": false, "sticky": kind == "streaming",
		"resumable": resumable, "gap_aim_ms": 250,
	}
}

func engineService(name string) map[string]any {
	return map[string]any{
		"name": name, "health_path": "/health", "max_connections": 360, "protocol": "h1", "tls": false,
		"engine": map[string]any{
			"slots": 64, "kv_capacity": 232000, "kv_token_bytes": 327680, "link_mbps": 1100000.0, "adapter_slots": 8,
			"weights_mb": 66500.0, "loads_per_s": 2.8,
			"models": []any{map[string]any{"name": "m0", "weights_mb": 65100.0, "load_s": 1.9, "adapters": maxAdapter, "adapter_mb": 12.0, "warm_s": 0.38, "disk_s": 0.76}},
		},
	}
}

func plainService(name string) map[string]any {
	return map[string]any{"name": name, "health_path": "/health", "max_connections": 100, "protocol": "h1", "tls": false}
}

func manifest(version int, routes, services []any) map[string]any {
	return map[string]any{
		"version": version, "routes": routes, "services": services,
		"limits":  map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		"tenants": []any{map[string]any{"name": "tenant-1", "api_keys": []string{tenantKey}, "priority": 1, "unit": "tokens", "plain_tokens": 200, "rate_per_s": 0, "burst": 0}},
	}
}
