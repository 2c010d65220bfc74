package estimator

import "time"

// Backlog estimates how many prompt tokens an engine has yet to read. The senders know which prompts have had no first
// event, but not how much of them has been read; a Backlog assumes that the engine reads at its rate. It is an immutable
// value.
type Backlog struct {
	// rate is in tokens per millisecond.
	rate float64
	// unread was up to date at the given time and is at most total, the tokens of all prompts without a first event.
	unread, total float64
	// read is the number of tokens read since the start.
	read float64
	at   time.Time
}

// WithRate returns the Backlog of an engine that reads at the rate from now on.
func (b Backlog) WithRate(now time.Time, tokensPerMs float64) Backlog {
	b = b.until(now)
	b.rate = tokensPerMs
	return b
}

// WithTotal returns the Backlog with the number of tokens of all prompts that have had no first event.
func (b Backlog) WithTotal(now time.Time, tokens float64) Backlog {
	b = b.until(now)
	if tokens > b.total {
		b.unread += tokens - b.total
	}
	b.total = tokens
	b.unread = min(b.unread, tokens)
	return b
}

// Unread returns the number of tokens yet to be read.
func (b *Backlog) Unread(now time.Time) float64 { return b.unread - b.readBy(now) }

// Read returns the number of tokens read since the start.
func (b *Backlog) Read(now time.Time) float64 { return b.read + b.readBy(now) }

// readBy returns the number of tokens read since the last update.
func (b *Backlog) readBy(now time.Time) float64 {
	return min(b.unread, max(0, milliseconds(now.Sub(b.at)))*b.rate)
}

func (b Backlog) until(now time.Time) Backlog {
	n := b.readBy(now)
	b.unread, b.read, b.at = b.unread-n, b.read+n, now
	return b
}
