package registrar

import "time"

// Changes are the changes of a table from one version to another.
type Changes struct {
	// From is the version of the table to which the changes apply, in the era of Rows. Rows.Version is its version after them.
	From int64
	// Age is at least the time since the store returned them.
	Age  time.Duration
	Rows Rows
	// Previous are the rows before the changes, by key; nil if they are not known. The map must not be modified.
	Previous map[string]Row
	// MustCopy means that the changes up to From have to be copied from the process that sends this.
	MustCopy bool
}

// Split divides changes into parts that follow on one another, with values of about maxBytes each. The rows must be in
// the order of their versions; those of one version stay together, because they were written together. If they are too
// large for a part, the parts end before them, and the last part makes the receivers copy the table. Previous is not
// passed on.
func (c Changes) Split(maxBytes int) []Changes {
	var parts []Changes
	part := Changes{From: c.From, Age: c.Age, Rows: Rows{Era: c.Rows.Era, Version: c.From}}
	size := 0
	for i, r := range c.Rows.Rows {
		isNewVersion := i > 0 && r.Version != c.Rows.Rows[i-1].Version
		if size > 0 && size+len(r.Value) > maxBytes && isNewVersion {
			parts = append(parts, part)
			part = Changes{From: part.Rows.Version, Age: c.Age, Rows: Rows{Era: c.Rows.Era, Version: part.Rows.Version}}
			size = 0
		}
		part.Rows.Rows = append(part.Rows.Rows, r)
		part.Rows.Version = max(part.Rows.Version, r.Version)
		size += len(r.Value)
		if size > 2*maxBytes {
			return append(parts, Changes{From: c.Rows.Version, Age: c.Age, Rows: Rows{Era: c.Rows.Era, Version: c.Rows.Version}, MustCopy: true})
		}
	}
	part.Rows.Version = max(part.Rows.Version, c.Rows.Version)
	return append(parts, part)
}
