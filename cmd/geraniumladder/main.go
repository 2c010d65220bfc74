// Command geraniumladder runs each process of the system and the operators' commands.
package main

import (
	"context"
	"fmt"
	"os"
	"slices"

	"github.com/rs/zerolog"
	"github.com/urfave/cli/v3"

	"geraniumladder/internal/driver"
	"geraniumladder/internal/emulator"
	"geraniumladder/internal/experimenter"
	"geraniumladder/internal/inspector"
	"geraniumladder/internal/launcher"
	"geraniumladder/internal/operator"
	"geraniumladder/internal/replayer"
	"geraniumladder/internal/reporter"
	"geraniumladder/platform"
)

// logTimeFormat has milliseconds, so that the lines of several processes can be put in order.
const logTimeFormat = "2006-01-02T15:04:05.000Z07:00"

func main() {
	zerolog.TimeFieldFormat = logTimeFormat
	root := &cli.Command{
		Name:                  "geraniumladder",
		Usage:                 "serve many LoRA adapters over shared base models",
		EnableShellCompletion: true,
		Flags:                 operator.Flags(),
		Action:                operator.RequireSubcommand,
		Commands: slices.Concat(
			launcher.Commands(),
			operator.Config{InForce: inspector.NewInForceChecker}.Commands(),
			inspector.Commands(),
			driver.Commands(),
			replayer.Commands(),
			reporter.Commands(),
			experimenter.Commands(),
			[]*cli.Command{emulator.Commands(), platform.Command()},
		),
	}
	if err := root.Run(context.Background(), os.Args); err != nil {
		fmt.Fprintln(os.Stderr, "geraniumladder: "+err.Error())
		os.Exit(1)
	}
}
