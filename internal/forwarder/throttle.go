package forwarder

// recordLimit records the limit that an endpoint has named in an answer, or that it has named none.
func (f *Forwarder) recordLimit(e *endpoint, info ResponseInfo) {
	limit := -1.0
	if info.HasLimit {
		limit = info.RequestLimit
	}
	f.fleet.mu.Lock()
	previous := e.limit
	if limit >= 0 || !info.IsNotRun {
		e.limit = limit
	}
	hasChanged := e.limit != previous
	f.fleet.mu.Unlock()
	if hasChanged {
		f.config.Log.Info().Str("Endpoint", e.ID).Float64("PerSecond", limit).Float64("Was", previous).Msg("forwarder: endpoint's named limit changed")
	}
}
