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

// BookingLog records the bookings run by all ledger endpoints that share it. It persists across their crashes.
type BookingLog struct {
	mu sync.Mutex
	// bodies holds the distinct request bodies in the order in which they were first run.
	bodies    []string
	runCounts map[string]int
	total     int
}

// NewBookingLog returns an empty BookingLog.
func NewBookingLog() *BookingLog { return &BookingLog{runCounts: map[string]int{}} }

// Booking is a request body and the number of times it was run.
type Booking struct {
	Body     json.RawMessage
	TimesRun int
}

// Record adds a run of a booking and returns the total number of runs.
func (b *BookingLog) Record(body []byte) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	key := string(body)
	if b.runCounts[key] == 0 {
		b.bodies = append(b.bodies, key)
	}
	b.runCounts[key]++
	b.total++
	return b.total
}

// Bookings returns the bookings in the order in which they were first run.
func (b *BookingLog) Bookings() []Booking {
	b.mu.Lock()
	defer b.mu.Unlock()
	all := make([]Booking, 0, len(b.bodies))
	for _, key := range b.bodies {
		all = append(all, Booking{Body: json.RawMessage(key), TimesRun: b.runCounts[key]})
	}
	return all
}

// Total returns the number of runs of all bookings.
func (b *BookingLog) Total() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.total
}

// LedgerConfig configures a Ledger.
type LedgerConfig struct {
	// Book is shared by the replicas of a ledger. If nil, a new one is used.
	Book *BookingLog
	// WorkTime is the processing time of a booking.
	WorkTime time.Duration
	// Seed of the random numbers for faults with a rate.
	Seed uint64
}

// Ledger emulates a plain HTTP service whose bookings are not idempotent. A booking is recorded at the end of WorkTime,
// even if the client has disconnected; a crash before that loses it.
type Ledger struct {
	*faultInjector

	config LedgerConfig
}

// NewLedger returns a Ledger.
func NewLedger(c LedgerConfig) *Ledger {
	if c.Book == nil {
		c.Book = NewBookingLog()
	}
	return &Ledger{faultInjector: newFaultInjector(c.Seed, isWriteMethod, nil), config: c}
}

// Book returns the bookings.
func (l *Ledger) Book() *BookingLog { return l.config.Book }

// Handler serves the ledger, its faults and the request log.
func (l *Ledger) Handler() http.Handler {
	e := newEcho()
	e.POST("/bookings", l.postBooking, l.withFaults)
	// Tests read the bookings here, so no faults apply.
	e.GET("/bookings", func(x echo.Context) error { return x.JSON(http.StatusOK, l.config.Book.Bookings()) })
	e.GET("/balances/:name", l.getBalance, l.withFaults)
	e.GET("/health", func(x echo.Context) error { return x.NoContent(http.StatusOK) }, l.probeMiddleware)
	l.registerFaultRoutes(e, faultsPath)
	l.registerRequestLog(e)
	return e
}

func (l *Ledger) postBooking(e echo.Context) error {
	body, err := io.ReadAll(e.Request().Body)
	if err != nil {
		return err
	}
	if !json.Valid(body) {
		return e.JSON(http.StatusBadRequest, newErrorBody(http.StatusBadRequest, "the body is no JSON; nothing was booked"))
	}
	// Only a crash interrupts the work; a disconnect of the client does not.
	ctx, cancel := context.WithCancel(context.WithoutCancel(e.Request().Context()))
	defer cancel()
	defer context.AfterFunc(l.processContext(), cancel)()
	if err := sleep(ctx, l.config.WorkTime); err != nil {
		return err
	}
	number := l.config.Book.Record(body)
	return e.JSON(http.StatusCreated, struct {
		Booking int
		Body    json.RawMessage
	}{number, body})
}

// getBalance responds with a balance that is derived from the hash of the name.
func (l *Ledger) getBalance(e echo.Context) error {
	name := e.Param("name")
	return e.JSON(http.StatusOK, struct {
		Name    string
		Balance int
	}{name, int(textHash(name) % 10_000)})
}
