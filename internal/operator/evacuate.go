package operator

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"strings"

	"github.com/urfave/cli/v3"

	"geraniumladder/internal/merger"
)

// EvacuationFile is the name of the file that "evacuate" writes.
const EvacuationFile = "60-evacuations.yaml"

type evacuateResult struct {
	Domain    string
	Evacuated bool
	Revision  int64
	Committed bool
	InForce   bool
	// VMs is the number of VMs that the platform lists in the domain; -1 if its list could not be read.
	VMs int
}

func (r evacuateResult) text() string {
	state := "is evacuated"
	if !r.Evacuated {
		state = "is not evacuated"
	}
	force := "in force on every live VM"
	if !r.InForce {
		force = "accepted; whether it is in force was not confirmed"
	}
	text := fmt.Sprintf("failure domain %s %s by revision %d, which is %s\n", r.Domain, state, r.Revision, force)
	if r.VMs == 0 && r.Evacuated {
		text += fmt.Sprintf("warning: the platform lists no VM in %s; check the name\n", r.Domain)
	}
	return text
}

func (c Config) evacuate(ctx context.Context, cmd *cli.Command) (result, error) {
	if cmd.Args().Len() != 1 || cmd.Args().First() == "" {
		return nil, usageError("evacuate takes one failure domain, as in \"geraniumladder evacuate domain-b\"")
	}
	domain, undo := cmd.Args().First(), cmd.Bool("undo")
	r, err := c.commitEdit(ctx, cmd, func(files []merger.File) (merger.File, error) { return editEvacuations(files, domain, !undo) })
	if err != nil {
		return nil, err
	}
	err = c.waitInForce(ctx, cmd, r.Revision)
	return evacuateResult{
		Domain: domain, Evacuated: !undo, Revision: r.Revision, Committed: r.Committed, InForce: err == nil && c.InForce != nil,
		VMs: c.countVMs(ctx, cmd, domain),
	}, err
}

// countVMs returns the number of VMs that the platform lists in the failure domain, or -1. It serves only for a warning.
func (c Config) countVMs(ctx context.Context, cmd *cli.Command, domain string) int {
	list, err := c.Open(cmd.String("platform")).ListVMs(ctx)
	if err != nil {
		return -1
	}
	count := 0
	for _, vm := range list {
		if vm.FailureDomain == domain {
			count++
		}
	}
	return count
}

// editEvacuations returns the command's file with the domain added or removed. The command owns the file and writes it
// anew; evacuations that operators state in other files are left to them.
func editEvacuations(files []merger.File, domain string, isEvacuated bool) (merger.File, error) {
	var parser merger.Parser
	items, _ := parser.Parse(files)
	own, _ := parser.Parse(slices.DeleteFunc(slices.Clone(files), func(f merger.File) bool { return f.Name != EvacuationFile }))
	_, isStated := items.Evacuations[domain]
	_, isOwn := own.Evacuations[domain]
	want := merger.Delta{}
	domains := maps.Clone(own.Evacuations)
	if domains == nil {
		domains = map[string]merger.Evacuation{}
	}
	switch {
	case isEvacuated && !isStated:
		domains[domain] = merger.Evacuation{Domain: domain}
		want.Evacuations.Set = map[string]merger.Evacuation{domain: domains[domain]}
	case !isEvacuated && !isStated:
		return merger.File{}, usageError("failure domain %q is not evacuated in the newest revision; the evacuation may have ended already", domain)
	case !isEvacuated && !isOwn:
		return merger.File{}, usageError("failure domain %q is evacuated by a file that this command does not write; pull, remove it there and apply", domain)
	case !isEvacuated:
		delete(domains, domain)
		want.Evacuations.Removed = []string{domain}
	}
	file := merger.File{Name: EvacuationFile, Content: evacuationsYAML(domains)}
	return file, checkEdit(files, file, want)
}

func evacuationsYAML(domains map[string]merger.Evacuation) []byte {
	var b strings.Builder
	b.WriteString("# Written by 'geraniumladder evacuate'.\n")
	if len(domains) == 0 {
		b.WriteString("Evacuations: []\n")
		return []byte(b.String())
	}
	b.WriteString("Evacuations:\n")
	for _, domain := range slices.Sorted(maps.Keys(domains)) {
		fmt.Fprintf(&b, "- Domain: %q\n", domain)
	}
	return []byte(b.String())
}
