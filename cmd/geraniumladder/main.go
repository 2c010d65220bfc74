// Command geraniumladder runs each process of the system and the operators' commands.
package main

import (
	"context"
	"fmt"
	"os"

	"github.com/urfave/cli/v3"
)

func main() {
	root := &cli.Command{
		Name:                  "geraniumladder",
		Usage:                 "serve many LoRA adapters over shared base models",
		EnableShellCompletion: true,
	}
	if err := root.Run(context.Background(), os.Args); err != nil {
		fmt.Fprintln(os.Stderr, "geraniumladder: "+err.Error())
		os.Exit(1)
	}
}
