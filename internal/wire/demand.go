package wire

import "slices"

// IsIdle reports whether no request waits or runs according to the demand.
func (d *EntryDemand) IsIdle() bool {
	return d.UnreadTokens == 0 && len(d.Wanted) == 0 && !slices.ContainsFunc(d.Used, func(a AdapterDemand) bool { return a.Open > 0 })
}
