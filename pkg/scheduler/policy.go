package scheduler

// Standing is what a policy knows about an organisation with waiting requests.
type Standing struct {
	Organisation string
	// Service is the organisation's counter: cost received over its weight, lifted when it returns from idle.
	Service float64
	// Turn is the number of the pick that last served the organisation; 0 for none.
	Turn int64
	// Head numbers the arrival of the organisation's next request.
	Head int64
}

// Policy chooses between organisations.
type Policy interface {
	// Before says whether a is served before b.
	Before(a, b Standing) bool
}

// TokenCounter serves the organisation with the least weighted service.
type TokenCounter struct{}

// Before implements Policy.
func (TokenCounter) Before(a, b Standing) bool {
	if a.Service != b.Service {
		return a.Service < b.Service
	}
	return a.Head < b.Head
}

// FirstInFirstOut serves requests in the order of their arrival. It is a baseline.
type FirstInFirstOut struct{}

// Before implements Policy.
func (FirstInFirstOut) Before(a, b Standing) bool { return a.Head < b.Head }

// RoundRobin serves one request of each organisation in turn, whatever its size. It is a baseline.
type RoundRobin struct{}

// Before implements Policy.
func (RoundRobin) Before(a, b Standing) bool {
	if a.Turn != b.Turn {
		return a.Turn < b.Turn
	}
	return a.Head < b.Head
}
