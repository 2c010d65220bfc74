package emulator

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/labstack/echo/v4"
)

// LedgerBook is the bookings that have been run by all ledger endpoints that share it. It survives their crashes.
type LedgerBook struct {
	mu sync.Mutex
	// order holds each body once, in the order of first runs.
	order []string
	times map[string]int
	total int
}

// NewLedgerBook returns an empty LedgerBook.
func NewLedgerBook() *LedgerBook { return &LedgerBook{times: map[string]int{}} }

// Booking is one request body that was run, and how often.
type Booking struct {
	Body     json.RawMessage
	TimesRun int
}

// Run adds one run of a booking and returns its number.
func (b *LedgerBook) Run(body []byte) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	key := string(body)
	if b.times[key] == 0 {
		b.order = append(b.order, key)
	}
	b.times[key]++
	b.total++
	return b.total
}

// Bookings returns the bookings in the order of their first runs.
func (b *LedgerBook) Bookings() []Booking {
	b.mu.Lock()
	defer b.mu.Unlock()
	all := make([]Booking, 0, len(b.order))
	for _, key := range b.order {
		all = append(all, Booking{Body: json.RawMessage(key), TimesRun: b.times[key]})
	}
	return all
}

// Total returns the number of runs.
func (b *LedgerBook) Total() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.total
}

// LedgerConfig configures a Ledger.
type LedgerConfig struct {
	// Book is shared by the replicas of one ledger; a new one when nil.
	Book *LedgerBook
	// WorkTime is how long a booking takes.
	WorkTime time.Duration
	// Seed of the faults with a rate.
	Seed uint64
}

// Ledger is a plain service whose bookings may not be repeated. A booking counts as run when its work ends, whether
// or not its client is still connected; a crash before that loses it.
type Ledger struct {
	*control

	config LedgerConfig
}

// NewLedger returns a Ledger.
func NewLedger(c LedgerConfig) *Ledger {
	if c.Book == nil {
		c.Book = NewLedgerBook()
	}
	return &Ledger{control: newControl(c.Seed, writesByMethod, nil), config: c}
}

// Book returns the bookings.
func (l *Ledger) Book() *LedgerBook { return l.config.Book }

// Handler serves the ledger and its fault pages.
func (l *Ledger) Handler() http.Handler {
	e := newEcho()
	e.POST("/bookings", l.book, l.wrap)
	// The page by which tests look at the ledger is free of faults.
	e.GET("/bookings", func(x echo.Context) error { return x.JSON(http.StatusOK, l.config.Book.Bookings()) })
	e.GET("/balances/:name", l.balance, l.wrap)
	e.GET("/health", func(x echo.Context) error { return x.NoContent(http.StatusOK) }, l.probe)
	l.registerPages(e, pageFaults)
	l.registerSeen(e)
	return e
}

func (l *Ledger) book(e echo.Context) error {
	body, err := io.ReadAll(e.Request().Body)
	if err != nil {
		return err
	}
	if !json.Valid(body) {
		return e.JSON(http.StatusBadRequest, failure(http.StatusBadRequest, "the body is no JSON; nothing was booked"))
	}
	// A client that goes away does not stop the work; only a crash does.
	ctx, cancel := context.WithCancel(context.WithoutCancel(e.Request().Context()))
	defer cancel()
	defer context.AfterFunc(l.lifetime(), cancel)()
	if err := sleep(ctx, l.config.WorkTime); err != nil {
		return err
	}
	number := l.config.Book.Run(body)
	return e.JSON(http.StatusCreated, struct {
		Booking int
		Body    json.RawMessage
	}{number, body})
}

// balance answers with a figure that depends on the name only.
func (l *Ledger) balance(e echo.Context) error {
	name := e.Param("name")
	return e.JSON(http.StatusOK, struct {
		Name    string
		Balance int
	}{name, int(textHash(name) % 10_000)})
}
