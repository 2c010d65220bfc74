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

// Tuning holds the settings that a running process applies when they change. It is immutable.
type Tuning struct {
	// Seeds are addresses of entries. They may be outdated.
	Seeds []string
	// Retry limits the retries of all entries together.
	Retry retrier.Config
	// LimitAllowance is the number of tokens by which the entries together may exceed a limit.
	LimitAllowance float64
	// StopTimeout is the time from the stop signal to the end of the process.
	StopTimeout time.Duration
	// LeaveTime is how long a leaving endpoint may still get requests after it has announced that it leaves.
	LeaveTime time.Duration
	// ApplyTime is how long a change of the configuration may take to be in force; 0 if it is unknown.
	ApplyTime time.Duration
	// ContactTime is how long after the end of a disturbance, such as an outage of the store, an entry may act on what it
	// knew before; 0 if it is unknown.
	ContactTime time.Duration
	// RenewInterval is the interval at which endpoints renew their registrations.
	RenewInterval time.Duration
	// LoadWindow is the window over which the fleet's loads of models from the weight store are counted.
	LoadWindow  time.Duration
	MemoryBytes int64
}

// Reload reads the settings again. isNew is false if they have not changed since the last call.
type Reload func() (t Tuning, isNew bool, err error)

// settingsPollInterval is the interval at which the settings are read, because they may change without a signal. A read
// is cheap: one small local file.
const settingsPollInterval = 2 * time.Second

// reloadLoop applies new settings on SIGHUP and when polling finds a change.
func reloadLoop(reload Reload, apply func(Tuning), log zerolog.Logger) looper.Loop {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGHUP)
	return func(ctx context.Context) error {
		defer signal.Stop(signals)
		ticker := time.NewTicker(settingsPollInterval)
		defer ticker.Stop()
		lastError := ""
		for {
			isSignal := false
			select {
			case <-signals:
				isSignal = true
			case <-ticker.C:
			case <-ctx.Done():
				return ctx.Err()
			}
			tuning, isNew, err := reload()
			switch {
			case err != nil && (isSignal || err.Error() != lastError):
				log.Error().Err(err).Bool("Signal", isSignal).Msg("process: settings not reloaded, the earlier ones stay")
			case err == nil && isNew:
				apply(tuning)
				log.Info().Bool("Signal", isSignal).Interface("Settings", tuning).Msg("process: settings reloaded")
			case err == nil && isSignal:
				log.Info().Bool("Signal", isSignal).Msg("process: settings have not changed")
			}
			lastError = ""
			if err != nil {
				lastError = err.Error()
			}
		}
	}
}

// limitMemory sets the soft memory limit of the Go runtime.
func limitMemory(t Tuning) { debug.SetMemoryLimit(int64(float64(t.MemoryBytes) * memoryLimitFraction)) }
