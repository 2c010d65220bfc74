// Command geraniumladder runs each process of the system and the operators' commands.
package main

import (
	"context"
	"fmt"
	"os"
	"slices"

	"github.com/urfave/cli/v3"

	"geraniumladder/internal/emulator"
	"geraniumladder/internal/launcher"
)

func main() {
	root := &cli.Command{
		Name:                  "geraniumladder",
		Usage:                 "serve many LoRA adapters over shared base models",
		EnableShellCompletion: true,
		Commands:              slices.Concat(launcher.Commands(), []*cli.Command{emulator.Commands()}),
	}
	if err := root.Run(context.Background(), os.Args); err != nil {
		fmt.Fprintln(os.Stderr, "geraniumladder: "+err.Error())
		os.Exit(1)
	}
}
