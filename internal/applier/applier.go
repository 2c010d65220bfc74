// Package applier commits the operators' files to the platform as numbered revisions, and follows them in an entry.
//
// It owns the rows config/head, config-file and config-delta and the objects below config/; Apply alone writes them.
// In an entry's memory it owns the revision in force, which only the entry's Follower replaces.
// When the platform's store is unavailable, Apply returns Unavailable and changes nothing or, if the answer was lost,
// says that the outcome is unknown; the Follower keeps the last revision, asks peers, and says by MayServe
// whether requests may still be accepted.
package applier

import (
	"bytes"
	"cmp"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/uuid"

	"geraniumladder/internal/merger"
	"geraniumladder/internal/storer"
	"geraniumladder/internal/wire"
)

// Keys of the rows and objects that hold the configuration.
const (
	headPk         = "config"
	headSk         = "head"
	filePk         = "config-file"
	deltaPk        = "config-delta"
	snapshotPrefix = "config/snapshot/"
	deltaPrefix    = "config/delta/"
	filePrefix     = "config/file/"
)

const (
	// maxInlineDelta is the largest delta kept in its row; the table service takes 400 KB a row.
	maxInlineDelta = 256 << 10
	// A file over maxInlineFile, and every file beyond maxInlineFiles bytes of one transaction, is kept as an object.
	// The table service takes 4 MB a transaction, and a JSON string can be twice as long as the text in it.
	maxInlineFile  = 64 << 10
	maxInlineFiles = 1 << 20
	// maxChangedFiles keeps one transaction within the 100 rows that the table service takes.
	maxChangedFiles = 90
	// snapshotEvery is the number of revisions between two snapshots, and the number of deltas up to which
	// a follower prefers the deltas.
	snapshotEvery = 64
	// queryPage is the number of rows asked for at once.
	queryPage = 64
	// maxAttempts bounds the commits tried on top of other operators' commits and through short outages. With
	// DefaultBackoff they take about 6 s, longer than a change of the store's leader and short for an operator.
	maxAttempts = 8
	// DefaultBackoff is the first wait between two attempts; each following one is twice as long, to 16 times.
	DefaultBackoff = 100 * time.Millisecond
)

// Config configures Apply and the functions on folders.
type Config struct {
	Table   storer.Table
	Objects storer.Objects
	// Now is time.Now when nil.
	Now func() time.Time
	// NewMark returns a random mark; a UUID when nil.
	NewMark func() string
	// Backoff is DefaultBackoff when 0.
	Backoff time.Duration
	// Parser remembers decoded files between calls, which then must follow each other; nil for none.
	Parser *merger.Parser
}

func (c Config) withDefaults() Config {
	if c.Now == nil {
		c.Now = time.Now
	}
	if c.NewMark == nil {
		c.NewMark = uuid.NewString
	}
	if c.Parser == nil {
		c.Parser = new(merger.Parser)
	}
	c.Backoff = cmp.Or(c.Backoff, DefaultBackoff)
	return c
}

// FileVersion is one version of an operator's file.
type FileVersion struct {
	// Version is the revision that last changed the file. It is not the version of the file's row, which starts
	// again at 1 when a file is removed and added, so that a stale copy could pass as current.
	Version int64
	// Digest is the SHA-256 of the content in hexadecimal.
	Digest string
}

// Manifest records which versions of which files a folder was pulled at.
type Manifest struct {
	Revision int64
	Files    map[string]FileVersion
}

// Result is the outcome of Apply.
type Result struct {
	// Revision is the one that holds the changes.
	Revision int64
	// Committed is false when the files were in the platform already.
	Committed bool
	// Changed and Removed name the files that the commit changed and removed.
	Changed []string
	Removed []string
	Delta   merger.Delta
	// Manifest is the base with the new versions of the applied files.
	Manifest Manifest
}

// Conflict says that another operator changed the same files since the last pull.
type Conflict struct {
	Files []string
	// Unmerged is set when the files hold the other operator's version of a file, left there by pull.
	Unmerged bool
}

// Error implements error. The message names the remedy.
func (e *Conflict) Error() string {
	if e.Unmerged {
		return fmt.Sprintf("%s: holds another operator's version of the file; merge it into the file without %s, delete it and apply again",
			strings.Join(e.Files, ", "), remoteSuffix)
	}
	return fmt.Sprintf("%s: changed by another operator since the last pull; run \"pull\", merge the changes and apply again",
		strings.Join(e.Files, ", "))
}

// Invalid says that the merged files are not a valid configuration.
type Invalid struct {
	Faults []merger.Fault
}

// Error implements error. Each fault names its remedy.
func (e *Invalid) Error() string {
	lines := make([]string, len(e.Faults))
	for i, f := range e.Faults {
		lines[i] = f.String()
	}
	return strings.Join(lines, "\n")
}

// Unavailable says that the platform did not answer.
type Unavailable struct {
	// Op is what was tried.
	Op string
	// Unknown is set when the commit may have taken effect.
	Unknown bool
	Cause   error
}

// Error implements error. The message names the remedy.
func (e *Unavailable) Error() string {
	if e.Unknown {
		return fmt.Sprintf("%s: the outcome is unknown because the platform does not answer; repeat the command, which commits nothing twice: %v", e.Op, e.Cause)
	}
	return fmt.Sprintf("%s: nothing was changed because the platform does not answer; repeat the command later: %v", e.Op, e.Cause)
}

// Unwrap returns the error underneath.
func (e *Unavailable) Unwrap() error { return e.Cause }

// fileRow is the document of a row config-file, NAME.
type fileRow struct {
	Version int64
	Digest  string
	Content string `json:",omitempty"`
	// Object is the key of the object with the content when it is not in the row.
	Object string `json:",omitempty"`
}

// deltaRow is the document of a row config-delta, NUMBER.
type deltaRow struct {
	Number      int64
	Mark        string
	CommittedMs int64
	Delta       *merger.Delta `json:",omitempty"`
	// Object is the key of the object with the delta when it is not in the row.
	Object string `json:",omitempty"`
}

// snapshot is the document of an object config/snapshot/NUMBER.
type snapshot struct {
	Number int64
	Items  merger.Items
}

func deltaSk(number int64) string { return fmt.Sprintf("%012d", number) }

func snapshotKey(number int64) string { return fmt.Sprintf("%s%d", snapshotPrefix, number) }

func digestOf(content []byte) string {
	sum := sha256.Sum256(content)
	return hex.EncodeToString(sum[:])
}

// marshal encodes without the HTML escapes of json.Marshal, which triple the length of < > and &.
func marshal(v any) ([]byte, error) {
	var b bytes.Buffer
	enc := json.NewEncoder(&b)
	enc.SetEscapeHTML(false)
	if err := enc.Encode(v); err != nil {
		return nil, errors.Wrap(err, "encode a row; report this as a fault of the program")
	}
	return bytes.TrimSuffix(b.Bytes(), []byte("\n")), nil
}

// stored is the state of the platform at one head.
type stored struct {
	head wire.HeadRow
	// headVersion is the version of the head's row; 0 when there is none.
	headVersion int64
	files       map[string]storedFile
}

type storedFile struct {
	version    FileVersion
	rowVersion int64
	content    []byte
}

func (s stored) list() []merger.File {
	out := make([]merger.File, 0, len(s.files))
	for _, name := range slices.Sorted(maps.Keys(s.files)) {
		out = append(out, merger.File{Name: name, Content: s.files[name].content})
	}
	return out
}

// errMoved says that another commit took place between two reads.
var errMoved = errors.New("the configuration changed while it was read; repeat the command")

func readHead(ctx context.Context, table storer.Table) (wire.HeadRow, int64, error) {
	row, err := table.Get(ctx, headPk, headSk)
	if storer.IsKind(err, storer.NotFound) {
		return wire.HeadRow{}, 0, nil
	}
	if err != nil {
		return wire.HeadRow{}, 0, err
	}
	var head wire.HeadRow
	if err := json.Unmarshal(row.Data, &head); err != nil {
		return wire.HeadRow{}, 0, errors.Wrap(err, "decode row config/head")
	}
	return head, row.Version, nil
}

// read returns the head and all files of one and the same revision, or errMoved.
func (c Config) read(ctx context.Context) (stored, error) {
	head, version, err := readHead(ctx, c.Table)
	if err != nil {
		return stored{}, err
	}
	s := stored{head: head, headVersion: version, files: make(map[string]storedFile, len(head.Files))}
	from := ""
	for {
		rows, err := c.Table.Query(ctx, filePk, from, queryPage)
		if err != nil {
			return stored{}, err
		}
		// A page may be shorter than asked for when it reaches 1 MB; only an empty one is the last.
		if len(rows) == 0 {
			break
		}
		for _, row := range rows {
			file, err := c.readFile(ctx, row)
			if err != nil {
				return stored{}, err
			}
			s.files[row.Sk] = file
		}
		from = rows[len(rows)-1].Sk + "\x00"
	}
	if len(s.files) != len(head.Files) {
		return stored{}, errMoved
	}
	for name, version := range head.Files {
		if s.files[name].version.Version != version {
			return stored{}, errMoved
		}
	}
	return s, nil
}

func (c Config) readFile(ctx context.Context, row storer.Row) (storedFile, error) {
	var doc fileRow
	if err := json.Unmarshal(row.Data, &doc); err != nil {
		return storedFile{}, errors.Wrapf(err, "decode row config-file/%s", row.Sk)
	}
	file := storedFile{version: FileVersion{Version: doc.Version, Digest: doc.Digest}, rowVersion: row.Version, content: []byte(doc.Content)}
	if doc.Object != "" {
		content, err := c.Objects.GetObject(ctx, doc.Object)
		if err != nil {
			return storedFile{}, err
		}
		file.content = content
	}
	if digestOf(file.content) != doc.Digest {
		return storedFile{}, errors.Newf("row config-file/%s: the content does not match its digest; apply the file again", row.Sk)
	}
	return file, nil
}

// plan is what one apply changes on top of a stored state.
type plan struct {
	changed  []merger.File
	removed  []string
	manifest Manifest
}

// plan checks the files against the versions they were pulled at. A file that another operator has changed to the
// same content is no conflict: this makes it safe to repeat an apply whose outcome is unknown.
func (s stored) plan(base Manifest, files []merger.File, removed []string) (plan, error) {
	p := plan{manifest: Manifest{Revision: s.head.Revision, Files: maps.Clone(base.Files)}}
	if p.manifest.Files == nil {
		p.manifest.Files = map[string]FileVersion{}
	}
	var conflicts []string
	for _, f := range files {
		current, exists := s.files[f.Name]
		switch {
		case exists && current.version.Digest == digestOf(f.Content):
			p.manifest.Files[f.Name] = current.version
		case current.version.Version != base.Files[f.Name].Version:
			conflicts = append(conflicts, f.Name)
		default:
			p.changed = append(p.changed, f)
		}
	}
	for _, name := range removed {
		current, exists := s.files[name]
		switch {
		case !exists:
			delete(p.manifest.Files, name)
		case current.version.Version != base.Files[name].Version:
			conflicts = append(conflicts, name)
		default:
			p.removed = append(p.removed, name)
			delete(p.manifest.Files, name)
		}
	}
	if len(conflicts) > 0 {
		slices.Sort(conflicts)
		return p, &Conflict{Files: conflicts}
	}
	if n := len(p.changed) + len(p.removed); n > maxChangedFiles {
		return p, &Invalid{Faults: []merger.Fault{{File: p.lastName(), Problem: fmt.Sprintf("%d files changed at once, over the limit of %d", n, maxChangedFiles),
			Remedy: "apply the folder in parts, or join small files"}}}
	}
	return p, nil
}

func (p plan) lastName() string {
	if len(p.changed) > 0 {
		return p.changed[len(p.changed)-1].Name
	}
	return p.removed[len(p.removed)-1]
}

func (p plan) empty() bool { return len(p.changed)+len(p.removed) == 0 }

// merged returns the stored files with the plan's changes.
func (p plan) merged(s stored) []merger.File {
	replaced := map[string]bool{}
	for _, f := range p.changed {
		replaced[f.Name] = true
	}
	for _, name := range p.removed {
		replaced[name] = true
	}
	out := slices.DeleteFunc(s.list(), func(f merger.File) bool { return replaced[f.Name] })
	return append(out, p.changed...)
}

// Apply commits the files and removes the removed ones, on top of what other operators have committed.
// base is the manifest of the pull that the files were edited from. Files equal to the stored ones are left alone.
// It returns *Conflict, *Invalid or *Unavailable; after *Unavailable it may be repeated.
func Apply(ctx context.Context, c Config, base Manifest, files []merger.File, removed []string) (Result, error) {
	c = c.withDefaults()
	for _, f := range files {
		if !merger.IsConfigFile(f.Name) {
			return Result{}, &Invalid{Faults: []merger.Fault{{File: f.Name, Problem: "not a file of the configuration", Remedy: "name it NAME.yaml"}}}
		}
	}
	commit := commit{Config: c, mark: c.NewMark(), base: base, files: files, removed: removed}
	var err error
	for attempt := range maxAttempts {
		if attempt > 0 {
			if waitErr := c.wait(ctx, attempt); waitErr != nil {
				break
			}
		}
		var done bool
		if done, err = commit.try(ctx); done {
			return commit.result, err
		}
	}
	return Result{}, &Unavailable{Op: "apply", Unknown: commit.unknown != 0, Cause: err}
}

func (c Config) wait(ctx context.Context, attempt int) error {
	full := c.Backoff << min(attempt-1, 4)
	timer := time.NewTimer(full/2 + rand.N(full/2+1))
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-timer.C:
		return nil
	}
}

// commit is one Apply over its attempts.
type commit struct {
	Config
	mark    string
	base    Manifest
	files   []merger.File
	removed []string
	// unknown is the number of the revision whose commit was sent without a known outcome; 0 for none.
	// It may still take effect as long as the head is below it. Only the last one matters: an attempt at a higher
	// number is made only after the head was seen to have passed the lower one.
	unknown int64
	// attempted is what a commit at number unknown consists of.
	attempted Result
	result    Result
}

// try makes one attempt and says whether Apply is done.
func (c *commit) try(ctx context.Context) (bool, error) {
	s, err := c.read(ctx)
	if err != nil {
		return c.done(err)
	}
	if c.unknown != 0 && s.head.Revision >= c.unknown {
		ours, err := c.isOurs(ctx, c.unknown)
		if err != nil {
			return c.done(err)
		}
		if ours {
			c.result = c.attempted
			return true, nil
		}
		c.unknown = 0
	}
	p, err := s.plan(c.base, c.files, c.removed)
	if err != nil {
		return true, err
	}
	if p.empty() {
		c.result = Result{Revision: s.head.Revision, Manifest: p.manifest}
		return true, nil
	}
	before, _ := c.Parser.Parse(s.list())
	after, faults := c.Parser.Parse(p.merged(s))
	if len(faults) > 0 {
		return true, &Invalid{Faults: faults}
	}
	writes, result, err := c.prepare(ctx, s, p, before, after)
	if err != nil {
		return c.done(err)
	}
	return c.transact(ctx, writes, result)
}

// transact sends the commit and finds out what became of it.
func (c *commit) transact(ctx context.Context, writes []storer.Write, result Result) (bool, error) {
	err := c.Table.Transact(ctx, writes)
	if err == nil {
		c.result = result
		return true, nil
	}
	if storer.IsKind(err, storer.Invalid) {
		return true, err
	}
	if !storer.IsKind(err, storer.Conflict) {
		c.unknown, c.attempted = result.Revision, result
	}
	// A condition can also fail because an earlier attempt of this commit took effect after all.
	ours, readErr := c.isOurs(ctx, result.Revision)
	if readErr != nil {
		return c.done(readErr)
	}
	if ours {
		c.result = result
		return true, nil
	}
	return false, err
}

// done says whether an error ends the commit: only errors that a new attempt cannot pass do.
func (c *commit) done(err error) (bool, error) {
	if errors.Is(err, errMoved) || storer.IsKind(err, storer.Unavailable) || storer.IsKind(err, storer.NotFound) || storer.IsKind(err, storer.Conflict) {
		return false, err
	}
	if !errors.HasType(err, (*storer.Error)(nil)) && errors.IsAny(err, context.Canceled, context.DeadlineExceeded) {
		return false, err
	}
	return true, err
}

// isOurs says whether revision number was committed with this commit's mark.
func (c *commit) isOurs(ctx context.Context, number int64) (bool, error) {
	row, err := c.Table.Get(ctx, deltaPk, deltaSk(number))
	if storer.IsKind(err, storer.NotFound) {
		return false, nil
	}
	if err != nil {
		return false, err
	}
	return row.Mark == c.mark, nil
}

// prepare writes the objects that the commit refers to and returns its transaction. An object that no committed row
// names has no effect; a repeated attempt writes the same ones again.
func (c *commit) prepare(ctx context.Context, s stored, p plan, before, after merger.Items) ([]storer.Write, Result, error) {
	number, now := s.head.Revision+1, c.Now().UnixMilli()
	result := Result{Revision: number, Committed: true, Delta: merger.Diff(before, after), Manifest: p.manifest}
	head := wire.HeadRow{Revision: number, Mark: c.mark, CommittedMs: now, Files: maps.Clone(s.head.Files), Snapshot: s.head.Snapshot}
	if head.Files == nil {
		head.Files = map[string]int64{}
	}
	writes := make([]storer.Write, 2, 2+len(p.changed)+len(p.removed))
	inline := 0
	for _, f := range p.changed {
		doc := fileRow{Version: number, Digest: digestOf(f.Content), Content: string(f.Content)}
		if inline += len(f.Content); len(f.Content) > maxInlineFile || inline > maxInlineFiles {
			doc.Content, doc.Object = "", filePrefix+f.Name+"/"+doc.Digest
			if err := c.Objects.PutObject(ctx, doc.Object, f.Content); err != nil {
				return nil, result, err
			}
		}
		row, err := c.row(filePk, f.Name, doc)
		if err != nil {
			return nil, result, err
		}
		writes = append(writes, storer.Write{Row: row, Expect: s.files[f.Name].rowVersion})
		head.Files[f.Name] = number
		result.Manifest.Files[f.Name] = FileVersion{Version: number, Digest: doc.Digest}
		result.Changed = append(result.Changed, f.Name)
	}
	for _, name := range p.removed {
		writes = append(writes, storer.Write{Row: storer.Row{Pk: filePk, Sk: name}, Expect: s.files[name].rowVersion, Delete: true})
		delete(head.Files, name)
		result.Removed = append(result.Removed, name)
	}
	result.Manifest.Revision = number
	head.Snapshot = c.snapshot(ctx, s.head, before)
	var err error
	if writes[0].Row, err = c.row(headPk, headSk, head); err != nil {
		return nil, result, err
	}
	writes[0].Expect = s.headVersion
	writes[1].Row, err = c.deltaRow(ctx, number, now, result.Delta)
	return writes, result, err
}

func (c *commit) row(pk, sk string, doc any) (storer.Row, error) {
	data, err := marshal(doc)
	return storer.Row{Pk: pk, Sk: sk, Data: data, Mark: c.mark}, err
}

func (c *commit) deltaRow(ctx context.Context, number, now int64, delta merger.Delta) (storer.Row, error) {
	doc := deltaRow{Number: number, Mark: c.mark, CommittedMs: now, Delta: &delta}
	encoded, err := marshal(delta)
	if err != nil {
		return storer.Row{}, err
	}
	if len(encoded) > maxInlineDelta {
		// The mark keeps operators apart who commit the same number at the same time.
		doc.Delta, doc.Object = nil, fmt.Sprintf("%s%d-%s", deltaPrefix, number, c.mark)
		if err := c.Objects.PutObject(ctx, doc.Object, encoded); err != nil {
			return storer.Row{}, err
		}
	}
	return c.row(deltaPk, deltaSk(number), doc)
}

// snapshot writes the snapshot of the revision that the commit builds on, when it is due, and returns the newest one.
// The snapshot is of the committed revision and not of the one being committed, because two operators who commit
// the same number at the same time would overwrite each other's object with different content.
// Without a snapshot followers read more deltas, so a failure is left to the next commit.
func (c *commit) snapshot(ctx context.Context, head wire.HeadRow, items merger.Items) int64 {
	if head.Revision-head.Snapshot < snapshotEvery {
		return head.Snapshot
	}
	body, err := marshal(snapshot{Number: head.Revision, Items: items})
	if err == nil {
		err = c.Objects.PutObject(ctx, snapshotKey(head.Revision), body)
	}
	if err != nil {
		return head.Snapshot
	}
	return head.Revision
}

// Pull returns the files of the newest revision and their manifest.
func Pull(ctx context.Context, c Config) (Manifest, []merger.File, error) {
	s, err := c.withDefaults().readSettled(ctx)
	if err != nil {
		return Manifest{}, nil, err
	}
	m := Manifest{Revision: s.head.Revision, Files: make(map[string]FileVersion, len(s.files))}
	for name, f := range s.files {
		m.Files[name] = f.version
	}
	return m, s.list(), nil
}

// readSettled reads until no commit falls between the reads.
func (c Config) readSettled(ctx context.Context) (stored, error) {
	var err error
	for attempt := range maxAttempts {
		if attempt > 0 && c.wait(ctx, attempt) != nil {
			break
		}
		var s stored
		if s, err = c.read(ctx); err == nil {
			return s, nil
		}
		if !errors.Is(err, errMoved) && !storer.IsKind(err, storer.Unavailable) && !storer.IsKind(err, storer.NotFound) {
			return s, err
		}
	}
	return stored{}, &Unavailable{Op: "pull", Cause: err}
}
