package operator_test

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/urfave/cli/v3"
	"gotest.tools/v3/assert"

	"geraniumladder/internal/applier"
	"geraniumladder/internal/authenticator"
	"geraniumladder/internal/merger"
	"geraniumladder/internal/operator"
	"geraniumladder/internal/storer"
)

// fakeVMs reports a fixed list of VMs that lack the revision.
type fakeVMs struct{ missing []string }

func (v fakeVMs) InForce(context.Context, int64) ([]string, error) { return v.missing, nil }

// runCommand runs the program on an in-memory platform and returns its output and exit code.
func runCommand(memory *storer.MemoryPlatform, missing []string, args ...string) (string, int, error) {
	c := operator.Config{
		Open:    func(string) operator.Platform { return memory },
		InForce: func(string) operator.InForce { return fakeVMs{missing} },
		Wait:    time.Millisecond,
		Backoff: time.Nanosecond,
	}
	var out bytes.Buffer
	root := &cli.Command{Name: "geraniumladder", Flags: operator.Flags(), Commands: c.Commands(), Action: operator.RequireSubcommand, Writer: &out, ErrWriter: io.Discard,
		ExitErrHandler: func(context.Context, *cli.Command, error) {}}
	err := root.Run(context.Background(), append([]string{"geraniumladder"}, args...))
	if err == nil {
		return out.String(), operator.ExitOK, nil
	}
	var failure *operator.ExitError
	if errors.As(err, &failure) {
		return out.String(), failure.Code, err
	}
	return out.String(), -1, err
}

func writeFolder(t *testing.T, files map[string]string) string {
	t.Helper()
	dir := t.TempDir()
	for name, content := range files {
		assert.NilError(t, os.WriteFile(filepath.Join(dir, name), []byte(content), 0o600))
	}
	return dir
}

const (
	organisations = "Organisations:\n- {Name: st-mary, Rate: 100, Burst: 500}\n"
	adapters      = "Adapters:\n- {Name: repair, BaseModel: llama, Versions: [{Version: 1, Path: a/1}]}\n"
	digest        = "9f86d081884c7d659a2feaa0c55ad015a3bf4f1b2b0b822cd15d6c15b0f00a08"
)

// Guards against an invalid folder that is accepted, or rejected without the file, the line and a way to fix it.
func TestCheckRejectsInvalidFolders(t *testing.T) {
	cases := []struct {
		name, file, content string
		want                []string
	}{
		{"half saved", "20.yaml", "Routes:\n- Name: r\n  Organisations: [st-mary\n", []string{"20.yaml:3: not valid YAML", "complete the file"}},
		{"empty file", "20.yaml", "", []string{"20.yaml:1: the file is empty", "remove the file"}},
		{"empty list", "20.yaml", "Adapters:\n", []string{"20.yaml:1: Adapters: no value", "[] for an empty one"}},
		{"empty list item", "20.yaml", "Adapters:\n-\n", []string{"20.yaml:2: Adapters[0]: empty list item", "remove the \"-\""}},
		{"field without value", "20.yaml", "Organisations:\n- Name: a\n  Rate:\n  Burst: 1\n", []string{"20.yaml:3: Organisations[0].Rate: no value", "write a value"}},
		{"unknown list", "20.yaml", "Adaptors: []\n", []string{"20.yaml:1: Adaptors: unknown field", "use Organisations"}},
		{"unknown field", "20.yaml", "Organisations:\n- {Name: a, Rate: 1, Burst: 1, rate: 2}\n", []string{"20.yaml:2: Organisations[0].rate: unknown field", "write Rate"}},
		{"field stated twice", "20.yaml", "Organisations:\n- Name: a\n  Rate: 1\n  Burst: 1\n  Rate: 2\n", []string{"20.yaml:5: Organisations[0].Rate: stated twice, first in line 3", "remove one"}},
		{"restated without Override", "20.yaml", organisations, []string{`20.yaml:2: Organisations[0].Name: "st-mary" is already stated in 10.yaml:2`, "Override: true"}},
		{"twice in one file", "20.yaml", "Organisations:\n- {Name: a, Rate: 1, Burst: 1}\n- {Name: a, Rate: 1, Burst: 1, Override: true}\n",
			[]string{`20.yaml:3: Organisations[1].Name: "a" is already stated in 20.yaml:2`, "remove or rename"}},
		{"override of nothing", "20.yaml", "Organisations:\n- {Name: a, Rate: 1, Burst: 1, Override: true}\n", []string{"20.yaml:2: Organisations[0].Override: no earlier file", "remove Override"}},
		{"key restated", "20.yaml", "Keys:\n- {Id: k, Organisation: st-mary, Digest: " + digest + ", Override: true}\n", []string{"20.yaml:2: Keys[0].Override: a key may not be restated", "issue a new one"}},
		{"plain secret", "20.yaml", "Keys:\n- Id: k\n  Organisation: st-mary\n  Secret: gl-1\n", []string{"20.yaml:4: Keys[0].Secret: a secret in plain text", "withdraw this key"}},
		{"digest used twice", "20.yaml", "Keys:\n- {Id: k, Organisation: st-mary, Digest: " + digest + "}\n- {Id: l, Organisation: st-mary, Digest: " + digest + "}\n",
			[]string{"20.yaml:3: Keys[1].Digest: the same as that of the key in 20.yaml:2", "a key of its own"}},
		{"key of no organisation", "20.yaml", "Keys:\n- Id: k\n  Organisation: nobody\n  Digest: " + digest + "\n", []string{`20.yaml:3: Keys[0].Organisation: there is no organisation "nobody"`, "correct the name"}},
		{"rate out of range", "20.yaml", "Organisations:\n- {Name: a, Rate: -1, Burst: 1}\n", []string{"20.yaml:2: Organisations[0].Rate: -1 is out of range", "at least 1"}},
		{"name with @", "20.yaml", "Adapters:\n- {Name: repair@2, BaseModel: llama, Versions: [{Version: 1, Path: a/1}]}\n", []string{`20.yaml:2: Adapters[0].Name: "repair@2" has characters outside`, "rename it"}},
		{"route to no adapter and version", "20.yaml", "Routes:\n- Name: r\n  Organisations: [st-mary]\n  Targets:\n  - {Adapter: repair, Version: 9}\n  - {Adapter: none, Version: 1, Weight: 0}\n",
			[]string{`20.yaml:5: Routes[0].Targets[0].Version: adapter "repair" has no version "9"`, "add the version",
				`20.yaml:6: Routes[0].Targets[1].Adapter: there is no adapter "none"`, "20.yaml:6: Routes[0].Targets[1].Weight: 0 is out of range", "at least 0.001"}},
		{"route values out of range", "20.yaml", "Routes:\n- Name: r\n  Organisations: [st-mary]\n  Service: ledger\n  Deadline: 11m\n  Priority: 11\n",
			[]string{"20.yaml:5: Routes[0].Deadline: 11m0s is out of range", "100ms to 10m0s", "20.yaml:6: Routes[0].Priority: 11 is out of range", "-10 to 10"}},
		{"deadline without unit", "20.yaml", "Routes:\n- {Name: r, Organisations: [st-mary], Service: ledger, Deadline: 90}\n", []string{`20.yaml:2: Routes[0].Deadline: "90" is not a duration`, "90s"}},
		{"objective out of range", "20.yaml", "Objectives:\n- {Name: o, Indicator: Availability, Target: 95}\n", []string{"20.yaml:2: Objectives[0].Target: 95 is out of range", "0.95"}},
		{"open route without a limit", "20.yaml", "Routes:\n- {Name: r, Open: true, Service: ledger}\n", []string{"20.yaml:2: Routes[0].Open: requests without a key have no limit", `an organisation named "open"`}},
		// The message gives the size of the file in bytes, which starts with these digits.
		{"too large", "20.yaml", organisations + strings.Repeat("#", merger.MaxFileBytes), []string{"20.yaml:0: 262", "split it"}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			dir := writeFolder(t, map[string]string{"10.yaml": organisations + adapters, c.file: c.content})
			_, code, err := runCommand(nil, nil, "check", dir)
			assert.Equal(t, code, operator.ExitInvalid, "%v", err)
			for _, want := range c.want {
				assert.ErrorContains(t, err, want)
			}
		})
	}
}

// Guards against items without effect and contradictory limits that check doesn't report, and against warnings of items that
// have an effect.
func TestCheckWarns(t *testing.T) {
	head := organisations + "Keys:\n- {Id: k, Organisation: st-mary, Digest: " + digest + "}\n"
	route := "Routes:\n- Name: r\n  Organisations: [st-mary]\n  Service: ledger\n  Deadline: 5s\n  Calls:\n"
	get, all, post := "  - {Method: GET, Path: /a/b, Repeatable: true}\n", "  - {Method: \"*\", Path: /a/*, Repeatable: true}\n", "  - {Method: POST, Path: /a/*, Repeatable: false}\n"
	objective := func(name, fields string) string {
		return "- {Name: " + name + ", Indicator: FirstToken, " + fields + "}\n"
	}
	for _, c := range []struct{ name, content, want string }{
		{"all in effect", head + route + get + post + all, ""},
		{"hidden by a prefix and any method", head + route + all + get, "20.yaml:12: Routes[0].Calls[1]: never matches, because Calls[0]"},
		{"not hidden by another method", head + route + post + get, ""},
		{"no key", organisations, `20.yaml:2: Organisations[0].Name: no key belongs to "st-mary"`},
		{"no route", head, `20.yaml:2: Organisations[0].Name: no route is open to "st-mary"`},
		{"threshold beyond the deadline", head + route + get + "Objectives:\n" + objective("o", "Threshold: 5s, Target: 0.9"), "Objectives[0].Threshold: 5s is not below 5s"},
		{"threshold within the deadline", head + route + get + "Objectives:\n" + objective("o", "Threshold: 4s, Target: 0.9"), ""},
		{"two targets", head + route + get + "Objectives:\n" + objective("o", "Threshold: 1s, Target: 0.9") + objective("p", "Threshold: 1s, Target: 0.8"),
			"Objectives[1].Target: 0.8 contradicts 0.9 in 20.yaml:"},
		{"targets of two thresholds", head + route + get + "Objectives:\n" + objective("o", "Threshold: 1s, Target: 0.9") + objective("p", "Threshold: 2s, Target: 0.95"), ""},
	} {
		out, code, err := runCommand(nil, nil, "check", writeFolder(t, map[string]string{"20.yaml": c.content}))
		assert.Equal(t, code, operator.ExitOK, "%s: %v", c.name, err)
		_, warnings, hasWarning := strings.Cut(out, "warning: ")
		assert.Equal(t, hasWarning, c.want != "", "%s: %s", c.name, out)
		assert.Assert(t, strings.Contains(warnings, c.want), "%s: %s", c.name, out)
	}
}

// Guards against wrong exit codes, which operators' scripts depend on, and against JSON output without the faults.
func TestExitCodes(t *testing.T) {
	memory := storer.NewMemoryPlatform()
	one := writeFolder(t, map[string]string{"10.yaml": organisations + adapters})
	bad := writeFolder(t, map[string]string{"20.yaml": "Adapters:\n-\n"})
	warned := writeFolder(t, map[string]string{"10.yaml": organisations + adapters, "20.yaml": "Organisations:\n- {Name: idle, Rate: 1, Burst: 1}\n"})
	effective := writeFolder(t, map[string]string{"10.yaml": organisations, "20.yaml": "Keys:\n- {Id: k, Organisation: st-mary, Digest: " + digest + "}\n" +
		"Routes:\n- {Name: r, Organisations: [st-mary], Service: ledger}\n"})
	conflicting := writeFolder(t, map[string]string{"10.yaml": organisations})
	steps := []struct {
		name    string
		prepare func()
		missing []string
		args    []string
		code    int
		output  string
	}{
		{name: "check", args: []string{"check", one}, output: "valid: 1 files with 1 organisations"},
		{name: "no folder", args: []string{"check"}, code: operator.ExitUsage},
		{name: "no such folder", args: []string{"check", filepath.Join(one, "none")}, code: operator.ExitUsage},
		{name: "unknown command", args: []string{"checks", one}, code: operator.ExitUsage},
		{name: "unknown subcommand", args: []string{"key", "revoke"}, code: operator.ExitUsage},
		{name: "unknown flag", args: []string{"check", "--depth", "3", one}, code: operator.ExitUsage},
		{name: "unknown format", args: []string{"check", "--output", "xml", one}, code: operator.ExitUsage},
		{name: "no platform", args: []string{"apply", one}, code: operator.ExitUsage},
		{name: "warning", args: []string{"check", warned}, output: "valid: 2 files"},
		{name: "strict without warnings", args: []string{"check", "--strict", effective}},
		{name: "strict", args: []string{"--output", "json", "check", "--strict", warned}, code: operator.ExitInvalid, output: `"File":"20.yaml","Line":2`},
		{name: "check and diff", args: []string{"--platform", "p", "--output", "json", "check", "--diff", one}, output: `"Difference":{"Revision":0,"Changed":["10.yaml"]`},
		{name: "check and diff without a platform", args: []string{"check", "--diff", one}, code: operator.ExitUsage},
		{name: "faults as JSON", args: []string{"--output", "json", "check", bad}, code: operator.ExitInvalid, output: `"Line":2`},
		{name: "diff", args: []string{"--platform", "p", "diff", one}, output: "organisation st-mary set"},
		{name: "apply", args: []string{"--platform", "p", "apply", one}, output: "revision 1 is in force on every live VM"},
		{name: "nothing to apply", args: []string{"apply", "--platform", "p", one}, output: "nothing to apply"},
		{name: "not in force", missing: []string{"vm-3"}, args: []string{"--platform", "p", "apply", one}, code: operator.ExitNotInForce},
		{name: "invalid", args: []string{"--platform", "p", "apply", bad}, code: operator.ExitInvalid},
		{name: "conflict", args: []string{"--platform", "p", "apply", conflicting}, code: operator.ExitConflict},
		{name: "pull over an edit", args: []string{"--platform", "p", "pull", conflicting}, code: operator.ExitConflict},
		{name: "undo of no evacuation", args: []string{"--platform", "p", "evacuate", "--undo", "z1"}, code: operator.ExitUsage},
		{name: "evacuate nothing", args: []string{"--platform", "p", "evacuate", ""}, code: operator.ExitUsage},
		{name: "evacuate", args: []string{"--platform", "p", "evacuate", "z1"}, output: "z1 is evacuated by revision 2, which is in force on every live VM\nwarning: the platform lists no VM in z1"},
		{name: "evacuate again", args: []string{"--platform", "p", "evacuate", "z1"}, output: "z1 is evacuated by revision 2"},
		{name: "evacuate another", missing: []string{"vm-3"}, args: []string{"--platform", "p", "evacuate", "z: 2"}, code: operator.ExitNotInForce},
		{name: "evacuation stays", args: []string{"--platform", "p", "diff", one}, output: "no difference to revision 3"},
		{name: "undo", args: []string{"--platform", "p", "--output", "json", "evacuate", "--undo", "z1"}, output: `"Evacuated":false,"Revision":4,"Committed":true,"InForce":true`},
		{name: "undo again", args: []string{"--platform", "p", "evacuate", "--undo", "z1"}, code: operator.ExitUsage},
		{name: "undo another", args: []string{"--platform", "p", "evacuate", "--undo", "z: 2"}, output: "z: 2 is not evacuated by revision 5"},
		{name: "unavailable", prepare: func() { memory.SetFault(storer.Fault{Down: true}) },
			args: []string{"--platform", "p", "key", "withdraw", "--id", "x"}, code: operator.ExitUnavailable},
	}
	for _, s := range steps {
		if s.prepare != nil {
			s.prepare()
		}
		out, code, err := runCommand(memory, s.missing, s.args...)
		assert.Equal(t, code, s.code, "%s: %v", s.name, err)
		assert.Assert(t, strings.Contains(out, s.output), "%s: %s", s.name, out)
	}
}

// Guards against a key whose secret is stored, that is not valid after it is issued or still valid after it is
// withdrawn, and against edits that lose other keys or comments in the file.
func TestKeyIssueAndWithdraw(t *testing.T) {
	memory := storer.NewMemoryPlatform()
	c := applier.Config{Table: memory, Objects: memory}
	handWritten := "# keys of the parish\nKeys:\n  # from 2025\n  - Id: old\n    Organisation: st-mary\n    Digest: " + digest + "\n\n" + organisations
	_, err := applier.Apply(t.Context(), c, applier.Manifest{}, []merger.File{{Name: "50-keys-st-mary.yaml", Content: []byte(handWritten)}}, nil)
	assert.NilError(t, err)
	out, code, err := runCommand(memory, nil, "--platform", "p", "--output", "json", "key", "issue", "--organisation", "st-mary", "--id", "new")
	assert.Equal(t, code, operator.ExitOK, "%v", err)
	var issued struct{ ID, Secret string }
	assert.NilError(t, json.Unmarshal([]byte(out), &issued))
	assert.Assert(t, strings.HasPrefix(issued.Secret, "gl-") && len(issued.Secret) == 35)

	current := func() (merger.Revision, string) {
		_, files, err := applier.Pull(t.Context(), c)
		assert.NilError(t, err)
		items, faults := merger.Parse(files)
		assert.Equal(t, len(faults), 0)
		return merger.NewRevision(1, items), string(files[0].Content)
	}
	r, text := current()
	key, ok := r.KeyByDigest(authenticator.Digest(issued.Secret))
	assert.Assert(t, ok && key.ID == "new" && key.Organisation == "st-mary")
	_, ok = r.KeyByDigest(digest)
	assert.Assert(t, ok && strings.Contains(text, "# keys of the parish") && !strings.Contains(text, issued.Secret))

	_, code, err = runCommand(memory, nil, "--platform", "p", "key", "issue", "--organisation", "st-mary", "--id", "new")
	assert.Equal(t, code, operator.ExitInvalid, "%v", err)
	for _, id := range []string{"old", "new"} {
		_, code, err = runCommand(memory, nil, "--platform", "p", "key", "withdraw", "--id", id)
		assert.Equal(t, code, operator.ExitOK, "%v", err)
	}
	r, text = current()
	assert.Equal(t, len(r.Items().Keys), 0)
	assert.Assert(t, strings.Contains(text, "# keys of the parish") && strings.Contains(text, organisations))
	_, code, _ = runCommand(memory, nil, "--platform", "p", "key", "withdraw", "--id", "old")
	assert.Equal(t, code, operator.ExitUsage)

	dir := writeFolder(t, map[string]string{"10.yaml": organisations})
	out, code, err = runCommand(nil, nil, "key", "issue", "--organisation", "st-mary", "--folder", dir)
	assert.Equal(t, code, operator.ExitOK, "%v", err)
	assert.Assert(t, strings.Contains(out, "apply the folder before use"))
	_, code, err = runCommand(nil, nil, "check", dir)
	assert.Equal(t, code, operator.ExitOK, "%v", err)
}

// Guards against a command without an example in its help.
func TestHelpHasExamples(t *testing.T) {
	for _, args := range [][]string{{"check"}, {"diff"}, {"apply"}, {"watch"}, {"pull"}, {"key", "issue"}, {"key", "withdraw"}} {
		out, _, err := runCommand(nil, nil, append(args, "--help")...)
		assert.NilError(t, err)
		example := regexp.MustCompile(`Example:\n\s+.*geraniumladder .*` + strings.Join(args, " "))
		assert.Assert(t, example.MatchString(out), out)
	}
}
