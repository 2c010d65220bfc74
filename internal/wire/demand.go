package wire

import "slices"

// IsIdle reports whether no request waits or runs according to the demand, and the engine isn't paced.
func (d *EntryDemand) IsIdle() bool {
	return d.Pace == nil && d.UnreadTokens == 0 && len(d.Wanted) == 0 && !slices.ContainsFunc(d.Used, func(a AdapterDemand) bool { return a.Open > 0 })
}
