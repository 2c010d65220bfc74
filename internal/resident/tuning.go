package resident

import (
	"context"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/rs/zerolog"

	"geraniumladder/internal/looper"
	"geraniumladder/pkg/retrier"
)

// Tuning is the part of the settings that a running process takes over when they change. It is immutable.
type Tuning struct {
	// Seeds are addresses of entries that may be out of date.
	Seeds []string
	// Retry bounds the repeats of all entries together.
	Retry retrier.Config
	// LimitAllowance is the number of tokens by which entries may exceed a limit together.
	LimitAllowance float64
	// StopTimeout is the time from the request to stop to the end of the process.
	StopTimeout time.Duration
	// LeaveTime is how long after its notice a leaving endpoint may still get requests.
	LeaveTime time.Duration
	// LoadWindow is the time over which the fleet's loads of models from the weight store are counted.
	LoadWindow  time.Duration
	MemoryBytes int64
}

// Reload reads the settings again. isNew is false when they are those of the last call.
type Reload func() (t Tuning, isNew bool, err error)

// settingsEvery is the time between two looks at the settings, which may change without a signal. The read is of one
// small local file.
const settingsEvery = 2 * time.Second

// reloads takes new settings over, at a signal and when they are found to have changed.
func reloads(reload Reload, apply func(Tuning), log zerolog.Logger) looper.Loop {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGHUP)
	return func(ctx context.Context) error {
		defer signal.Stop(signals)
		ticker := time.NewTicker(settingsEvery)
		defer ticker.Stop()
		failure := ""
		for {
			isAsked := false
			select {
			case <-signals:
				isAsked = true
			case <-ticker.C:
			case <-ctx.Done():
				return ctx.Err()
			}
			tuning, isNew, err := reload()
			switch {
			case err != nil && (isAsked || err.Error() != failure):
				log.Error().Err(err).Bool("Signal", isAsked).Msg("process: settings not reloaded, the earlier ones stay")
			case err == nil && isNew:
				apply(tuning)
				log.Info().Bool("Signal", isAsked).Interface("Settings", tuning).Msg("process: settings reloaded")
			case err == nil && isAsked:
				log.Info().Bool("Signal", isAsked).Msg("process: settings have not changed")
			}
			failure = ""
			if err != nil {
				failure = err.Error()
			}
		}
	}
}

// limitMemory sets what the collector aims to stay under.
func limitMemory(t Tuning) { debug.SetMemoryLimit(int64(float64(t.MemoryBytes) * memoryShare)) }
