package scheduler

// OrganisationState is the state of an organisation with waiting requests that policies compare.
type OrganisationState struct {
	Organisation string
	// Service is the organisation's virtual service counter: the cost that it has received divided by its weight. It is
	// raised when the organisation becomes backlogged again after being idle.
	Service float64
	// LastPick is the number of the pick that last served the organisation, or 0 if there was none.
	LastPick int64
	// Head is the arrival number of the organisation's next request.
	Head int64
}

// Policy defines the order in which organisations are served.
type Policy interface {
	// Before reports whether a is served before b.
	Before(a, b OrganisationState) bool
}

// VirtualTokenCounter serves the organisation with the lowest service counter (virtual token counter, VTC). Ties are
// broken by order of arrival.
type VirtualTokenCounter struct{}

// Before implements Policy.
func (VirtualTokenCounter) Before(a, b OrganisationState) bool {
	if a.Service != b.Service {
		return a.Service < b.Service
	}
	return a.Head < b.Head
}

// FirstInFirstOut serves requests in order of arrival. It is a baseline.
type FirstInFirstOut struct{}

// Before implements Policy.
func (FirstInFirstOut) Before(a, b OrganisationState) bool { return a.Head < b.Head }

// RoundRobin serves one request of each organisation in turn, regardless of its cost. It is a baseline.
type RoundRobin struct{}

// Before implements Policy.
func (RoundRobin) Before(a, b OrganisationState) bool {
	if a.LastPick != b.LastPick {
		return a.LastPick < b.LastPick
	}
	return a.Head < b.Head
}
