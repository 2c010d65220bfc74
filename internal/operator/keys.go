package operator

import (
	"bytes"
	"context"
	"crypto/rand"
	"encoding/hex"
	"fmt"
	"math/big"
	"path/filepath"
	"regexp"
	"slices"
	"strings"

	"github.com/cockroachdb/errors"
	"github.com/urfave/cli/v3"

	"geraniumladder/internal/applier"
	"geraniumladder/internal/authenticator"
	"geraniumladder/internal/merger"
)

const (
	secretPrefix = "gl-"
	// 32 characters out of 62 give 190 bits of entropy, so an unsalted digest cannot be reversed by brute force.
	secretLength = 32
	base62       = "0123456789ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz"
	// editAttempts bounds the retries when other operators change the same file concurrently.
	editAttempts = 5
)

// NewSecret returns a new random API key for a caller.
func NewSecret() (string, error) {
	secret := []byte(secretPrefix)
	for range secretLength {
		i, err := rand.Int(rand.Reader, big.NewInt(int64(len(base62))))
		if err != nil {
			return "", errors.Wrap(err, "read random bytes from the system")
		}
		secret = append(secret, base62[i.Int64()])
	}
	return string(secret), nil
}

// KeyFile returns the name of the file to which "key issue" writes the keys of an organisation.
func KeyFile(organisation string) string { return "50-keys-" + organisation + ".yaml" }

type issueResult struct {
	ID           string `json:"Id"`
	Organisation string
	Secret       string
	File         string
	Revision     int64 `json:",omitempty"`
	InForce      bool
}

func (r issueResult) text() string {
	state := fmt.Sprintf("the key works on every VM (revision %d)", r.Revision)
	switch {
	case r.Revision == 0:
		state = "its digest is in " + r.File + "; apply the folder before use"
	case !r.InForce:
		state = fmt.Sprintf("accepted as revision %d; whether it is in force was not confirmed", r.Revision)
	}
	return fmt.Sprintf("key %s of %s: %s\nsave the secret now, it cannot be shown again: %s\n", r.ID, r.Organisation, state, r.Secret)
}

func (c Config) keyIssue(ctx context.Context, cmd *cli.Command) (result, error) {
	organisation := cmd.String("organisation")
	if organisation == "" || cmd.Args().Len() > 0 {
		return nil, usageError("key issue needs --organisation NAME and takes no other arguments")
	}
	secret, err := NewSecret()
	if err != nil {
		return nil, err
	}
	id := cmd.String("id")
	if id == "" {
		suffix := make([]byte, 4)
		if _, err := rand.Read(suffix); err != nil {
			return nil, errors.Wrap(err, "read random bytes from the system")
		}
		id = organisation + "-" + hex.EncodeToString(suffix)
	}
	key := merger.Key{ID: id, Organisation: organisation, Digest: authenticator.Digest(secret)}
	done := issueResult{ID: id, Organisation: organisation, Secret: secret, File: KeyFile(organisation)}
	if dir := cmd.String("folder"); dir != "" {
		folder, err := applier.LoadFolder(dir)
		if err != nil {
			return nil, usageError("%s", err)
		}
		file, err := addKey(folder.Files, key)
		if err != nil {
			return nil, err
		}
		return done, applier.WriteFile(filepath.Join(dir, file.Name), file.Content)
	}
	r, err := c.commitEdit(ctx, cmd, func(files []merger.File) (merger.File, error) { return addKey(files, key) })
	if err != nil {
		// Do not print the secret after an error: the key may have been committed, and must not be usable unnoticed.
		return nil, errors.Wrapf(err, "the secret of key %s was discarded; withdraw the key if it appears in the files", id)
	}
	err = c.waitInForce(ctx, cmd, r.Revision)
	done.Revision, done.InForce = r.Revision, err == nil && c.InForce != nil
	return done, err
}

type withdrawResult struct {
	ID       string `json:"Id"`
	File     string
	Revision int64
	InForce  bool
}

func (r withdrawResult) text() string {
	state := "it has stopped working on every VM"
	if !r.InForce {
		state = "it was not confirmed that every VM has this revision"
	}
	return fmt.Sprintf("key %s is withdrawn from %s by revision %d; %s\n", r.ID, r.File, r.Revision, state)
}

func (c Config) keyWithdraw(ctx context.Context, cmd *cli.Command) (result, error) {
	id := cmd.String("id")
	if id == "" || cmd.Args().Len() > 0 {
		return nil, usageError("key withdraw needs --id ID and takes no other arguments")
	}
	file := ""
	r, err := c.commitEdit(ctx, cmd, func(files []merger.File) (merger.File, error) {
		changed, err := removeKey(files, id)
		file = changed.Name
		return changed, err
	})
	if err != nil {
		return nil, err
	}
	err = c.waitInForce(ctx, cmd, r.Revision)
	return withdrawResult{ID: id, File: file, Revision: r.Revision, InForce: err == nil && c.InForce != nil}, err
}

// commitEdit edits one file of the newest revision and commits it. It retries when another operator changed the file.
func (c Config) commitEdit(ctx context.Context, cmd *cli.Command, edit func([]merger.File) (merger.File, error)) (applier.ApplyResult, error) {
	p, err := c.platform(cmd)
	if err != nil {
		return applier.ApplyResult{}, err
	}
	var conflict *applier.Conflict
	for range editAttempts {
		base, files, pullErr := applier.Pull(ctx, p)
		if pullErr != nil {
			return applier.ApplyResult{}, pullErr
		}
		file, editErr := edit(files)
		if editErr != nil {
			return applier.ApplyResult{}, editErr
		}
		var r applier.ApplyResult
		r, err = applier.Apply(ctx, p, base, []merger.File{file}, nil)
		if !errors.As(err, &conflict) {
			return r, err
		}
	}
	return applier.ApplyResult{}, err
}

var (
	keysLinePattern  = regexp.MustCompile(`(?m)^Keys:[ \t]*(?:\[[ \t]*\][ \t]*)?(#.*)?$`)
	emptyKeysPattern = regexp.MustCompile(`(?m)^Keys:[ \t]*(#.*)?$`)
	firstItemPattern = regexp.MustCompile(`\A(?:[ \t]*(?:#.*)?\n)*([ ]*)-`)
)

// addKey returns the organisation's key file with the key added. The file is edited as text to preserve comments;
// checkEdit then verifies that only this key changed.
func addKey(files []merger.File, key merger.Key) (merger.File, error) {
	file := merger.File{Name: KeyFile(key.Organisation)}
	at := slices.IndexFunc(files, func(f merger.File) bool { return f.Name == file.Name })
	var old []byte
	if at >= 0 {
		old = files[at].Content
	}
	text := string(old)
	if text != "" && !strings.HasSuffix(text, "\n") {
		text += "\n"
	}
	line := keysLinePattern.FindStringIndex(text)
	if line == nil {
		text += "Keys:\n"
		line = []int{len(text) - len("Keys:\n"), len(text) - 1}
	}
	after := strings.TrimPrefix(text[line[1]:], "\n")
	indent := ""
	if m := firstItemPattern.FindStringSubmatch(after); m != nil {
		indent = m[1]
	}
	item := fmt.Sprintf("%[1]s- Id: %[2]s\n%[1]s  Organisation: %[3]s\n%[1]s  Digest: %[4]q\n", indent, key.ID, key.Organisation, key.Digest)
	file.Content = []byte(text[:line[0]] + "Keys:\n" + item + after)
	want := merger.Delta{Keys: merger.Changes[merger.Key]{Set: map[string]merger.Key{key.ID: key}}}
	return file, checkEdit(files, file, want)
}

// removeKey returns the file that defines the key, with the key removed.
func removeKey(files []merger.File, id string) (merger.File, error) {
	name, line, ok := merger.FindKey(files, id)
	if !ok {
		return merger.File{}, usageError("there is no key %q in the newest revision; it may be withdrawn already", id)
	}
	at := slices.IndexFunc(files, func(f merger.File) bool { return f.Name == name })
	lines := bytes.SplitAfter(files[at].Content, []byte("\n"))
	first := line - 1
	for first > 0 && !bytes.HasPrefix(bytes.TrimLeft(lines[first], " "), []byte("-")) {
		first--
	}
	last := first + 1
	for last < len(lines) && isPartOfItem(lines[last], indentOf(lines[first])) {
		last++
	}
	content := bytes.Join(slices.Concat(lines[:first], lines[last:]), nil)
	want := merger.Delta{Keys: merger.Changes[merger.Key]{Removed: []string{id}}}
	file := merger.File{Name: name, Content: content}
	err := checkEdit(files, file, want)
	if err != nil {
		// A list whose last key was removed has no value, which is invalid; write an empty list instead.
		file.Content = emptyKeysPattern.ReplaceAll(content, []byte("Keys: [] $1"))
		if checkEdit(files, file, want) == nil {
			return file, nil
		}
	}
	return file, err
}

func indentOf(line []byte) int { return len(line) - len(bytes.TrimLeft(line, " ")) }

// isPartOfItem reports whether a line belongs to the preceding YAML list item, whose dash is indented by dash spaces.
func isPartOfItem(line []byte, dash int) bool {
	return len(bytes.TrimSpace(line)) == 0 || indentOf(line) > dash
}

// checkEdit returns an error unless the edited file changes the configuration by exactly want.
func checkEdit(files []merger.File, edited merger.File, want merger.Delta) error {
	var parser merger.Parser
	before, _ := parser.Parse(files)
	others := slices.DeleteFunc(slices.Clone(files), func(f merger.File) bool { return f.Name == edited.Name })
	after, faults := parser.Parse(append(others, edited))
	if len(faults) > 0 {
		return &applier.Invalid{Faults: faults}
	}
	expected, err := want.Apply(before)
	if err != nil || !merger.Diff(expected, after).Empty() {
		return errors.Newf("%s cannot be edited by this command; pull, edit it by hand and apply", edited.Name)
	}
	return nil
}
