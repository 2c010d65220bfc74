// Package applier commits the operators' configuration files to the platform as numbered revisions, and replicates
// the newest revision to an entry.
//
// It owns the rows config/head, config-file and config-delta and the objects below config/; only Apply writes them.
// In an entry's memory it owns the revision in force, which only the entry's Follower replaces.
// When the platform's store is unavailable, Apply returns *Unavailable, which reports whether nothing was changed
// or the response was lost and the outcome is unknown. The Follower keeps the last revision in force, fetches from
// peers, and reports through MayServe whether requests may still be accepted.
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
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/uuid"
	"github.com/rs/zerolog"

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
	// highestKey is the object with the number of the last commit. A restore of the table doesn't set it back.
	highestKey  = "config/highest"
	deltaPrefix = "config/delta/"
	filePrefix  = "config/file/"
)

const (
	// maxInlineDelta is the largest delta stored in its row; the table service accepts at most 400 KB per row.
	maxInlineDelta = 256 << 10
	// A file larger than maxInlineFile, and each file that raises a transaction's total above maxInlineFiles bytes, is
	// stored as an object. The table service accepts at most 4 MB per transaction, and JSON encoding can double the
	// length of a text.
	maxInlineFile  = 64 << 10
	maxInlineFiles = 1 << 20
	// maxChangedFiles keeps a transaction within the table service's limit of 100 rows.
	maxChangedFiles = 90
	// snapshotEvery is the number of revisions between two snapshots. A follower that is at most this many revisions
	// behind fetches deltas instead of a snapshot.
	snapshotEvery = 64
	// queryPage is the page size of queries, in rows.
	queryPage = 64
	// maxAttempts bounds the retries after conflicting commits and during short outages. With DefaultBackoff all
	// attempts take about 6 s, which outlasts a leader change of the store and is a short wait for an operator.
	maxAttempts = 8
	// DefaultBackoff is the delay before the first retry. It doubles with each retry, up to 16 times the first delay.
	DefaultBackoff = 100 * time.Millisecond
)

// Config configures Apply, Pull and the functions that work on folders.
type Config struct {
	Table   storer.Table
	Objects storer.Objects
	// Now defaults to time.Now.
	Now func() time.Time
	// NewMark returns a random write mark that identifies one commit; it defaults to a new UUID.
	NewMark func() string
	// Backoff defaults to DefaultBackoff.
	Backoff time.Duration
	// Parser caches decoded files between calls, which must then not run concurrently; nil disables the cache.
	Parser *merger.Parser
	// Log receives a line when the number of a commit can't be recorded. By default nothing is logged.
	Log zerolog.Logger
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
	// Version is the revision that last changed the file. The version of the file's row can't serve here: it restarts
	// at 1 when a file is removed and added again, so that a stale copy could pass as current.
	Version int64
	// Digest is the SHA-256 digest of the content in hexadecimal.
	Digest string
}

// Manifest records the revision and the file versions that a folder was last pulled or applied at.
type Manifest struct {
	Revision int64
	Files    map[string]FileVersion
}

// ApplyResult is the outcome of Apply.
type ApplyResult struct {
	// Revision is the revision that contains the changes.
	Revision int64
	// Committed is false when the platform already had the files with this content.
	Committed bool
	// Changed and Removed are the names of the files that the commit changed and removed.
	Changed []string
	Removed []string
	Delta   merger.Delta
	// Manifest is the base manifest updated with the new versions of the applied files.
	Manifest Manifest
}

// Conflict reports that another operator changed the same files since the last pull.
type Conflict struct {
	Files []string
	// Unmerged is set when Files are the copies of another operator's versions that pull wrote for merging.
	Unmerged bool
}

// Error implements error. The message includes how to resolve the conflict.
func (e *Conflict) Error() string {
	if e.Unmerged {
		return fmt.Sprintf("%s: holds another operator's version of the file; merge it into the file without %s, delete it and apply again",
			strings.Join(e.Files, ", "), remoteSuffix)
	}
	return fmt.Sprintf("%s: changed by another operator since the last pull; run \"pull\", merge the changes and apply again",
		strings.Join(e.Files, ", "))
}

// Invalid reports that the merged files are not a valid configuration.
type Invalid struct {
	Faults []merger.Fault
}

// Error implements error. Each line describes one fault and how to fix it.
func (e *Invalid) Error() string {
	lines := make([]string, len(e.Faults))
	for i, f := range e.Faults {
		lines[i] = f.String()
	}
	return strings.Join(lines, "\n")
}

// Unavailable reports that the platform did not respond.
type Unavailable struct {
	// Op is the operation that failed.
	Op string
	// OutcomeUnknown is set when the commit may have taken effect.
	OutcomeUnknown bool
	Cause          error
}

// Error implements error. The message says whether the command can be repeated.
func (e *Unavailable) Error() string {
	if e.OutcomeUnknown {
		return fmt.Sprintf("%s: the outcome is unknown because the platform did not respond; repeat the command, it does not commit a change twice: %v", e.Op, e.Cause)
	}
	return fmt.Sprintf("%s: nothing was changed because the platform did not respond; retry later: %v", e.Op, e.Cause)
}

// Unwrap returns Cause.
func (e *Unavailable) Unwrap() error { return e.Cause }

// fileRow is the JSON document of the row config-file/NAME.
type fileRow struct {
	Version int64
	Digest  string
	Content string `json:",omitempty"`
	// Object is the key of the object with the content, if the content is not in the row.
	Object string `json:",omitempty"`
}

// deltaRow is the JSON document of the row config-delta/NUMBER.
type deltaRow struct {
	Number int64
	// Skipped is that of merger.NumberedDelta.
	Skipped     int64 `json:",omitempty"`
	Mark        string
	CommittedMs int64
	Delta       *merger.Delta `json:",omitempty"`
	// Object is the key of the object with the delta, if the delta is not in the row.
	Object string `json:",omitempty"`
}

// snapshot is the JSON document of the object config/snapshot/NUMBER.
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

// marshalUnescaped encodes v as JSON without the HTML escaping of json.Marshal, which replaces <, > and & by six bytes
// each.
func marshalUnescaped(v any) ([]byte, error) {
	var b bytes.Buffer
	enc := json.NewEncoder(&b)
	enc.SetEscapeHTML(false)
	if err := enc.Encode(v); err != nil {
		return nil, errors.Wrap(err, "encode a row; this is a bug in the program, report it")
	}
	return bytes.TrimSuffix(b.Bytes(), []byte("\n")), nil
}

// storedState is the head and all files of one revision, as read from the platform.
type storedState struct {
	head wire.HeadRow
	// headVersion is the version of the head's row; 0 if the row does not exist.
	headVersion int64
	files       map[string]storedFile
}

type storedFile struct {
	version    FileVersion
	rowVersion int64
	content    []byte
}

func (s storedState) sortedFiles() []merger.File {
	out := make([]merger.File, 0, len(s.files))
	for _, name := range slices.Sorted(maps.Keys(s.files)) {
		out = append(out, merger.File{Name: name, Content: s.files[name].content})
	}
	return out
}

// errConcurrentChange reports that another commit took place while head and files were read.
var errConcurrentChange = errors.New("the configuration changed while it was read; repeat the command")

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

// read returns the head and all files of the same revision. It returns errConcurrentChange if the files read do not
// match the head.
func (c Config) read(ctx context.Context) (storedState, error) {
	head, version, err := readHead(ctx, c.Table)
	if err != nil {
		return storedState{}, err
	}
	s := storedState{head: head, headVersion: version, files: make(map[string]storedFile, len(head.Files))}
	from := ""
	for {
		rows, err := c.Table.Query(ctx, filePk, from, queryPage)
		if err != nil {
			return storedState{}, err
		}
		// The table service cuts pages at 1 MB, so a short page need not be the last one; an empty page is.
		if len(rows) == 0 {
			break
		}
		for _, row := range rows {
			file, err := c.readFile(ctx, row)
			if err != nil {
				return storedState{}, err
			}
			s.files[row.Sk] = file
		}
		from = rows[len(rows)-1].Sk + "\x00"
	}
	if len(s.files) != len(head.Files) {
		return storedState{}, errConcurrentChange
	}
	for name, version := range head.Files {
		if s.files[name].version.Version != version {
			return storedState{}, errConcurrentChange
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

// plan is the set of changes that an apply makes to a storedState.
type plan struct {
	changed  []merger.File
	removed  []string
	manifest Manifest
}

// plan compares the files with the stored ones and with the versions they were pulled at. A file whose stored content
// is already the same is not a conflict, which makes it safe to repeat an apply whose outcome is unknown.
func (s storedState) plan(base Manifest, files []merger.File, removed []string) (plan, error) {
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
		case s.conflicts(f.Name, base):
			conflicts = append(conflicts, f.Name)
		default:
			p.changed = append(p.changed, f)
		}
	}
	for _, name := range removed {
		_, exists := s.files[name]
		switch {
		case !exists:
			delete(p.manifest.Files, name)
		case s.conflicts(name, base):
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
		return p, &Invalid{Faults: []merger.Fault{{File: p.lastFileName(), Problem: fmt.Sprintf("%d files changed in one apply, over the limit of %d", n, maxChangedFiles),
			Remedy: "apply the folder in parts, or combine small files"}}}
	}
	return p, nil
}

// conflicts reports whether another operator has changed the file since the base. A stored version below that of the base,
// or a table below it, was set back by a restore.
func (s storedState) conflicts(name string, base Manifest) bool {
	stored, pulled := s.files[name].version.Version, base.Files[name].Version
	isSetBack := pulled > s.head.Revision || stored > 0 && stored < pulled
	return stored != pulled && !isSetBack
}

func (p plan) lastFileName() string {
	if len(p.changed) > 0 {
		return p.changed[len(p.changed)-1].Name
	}
	return p.removed[len(p.removed)-1]
}

func (p plan) empty() bool { return len(p.changed)+len(p.removed) == 0 }

// merged returns the stored files with the plan's changes applied.
func (p plan) merged(s storedState) []merger.File {
	replaced := map[string]bool{}
	for _, f := range p.changed {
		replaced[f.Name] = true
	}
	for _, name := range p.removed {
		replaced[name] = true
	}
	out := slices.DeleteFunc(s.sortedFiles(), func(f merger.File) bool { return replaced[f.Name] })
	return append(out, p.changed...)
}

// Apply commits files, and the removal of the files named in removed, on top of the newest revision.
// base is the manifest of the pull that the files were edited from. Files equal to the stored ones are skipped.
// It returns *Conflict, *Invalid or *Unavailable; after *Unavailable it may be repeated.
func Apply(ctx context.Context, c Config, base Manifest, files []merger.File, removed []string) (ApplyResult, error) {
	c = c.withDefaults()
	for _, f := range files {
		if !merger.IsConfigFile(f.Name) {
			return ApplyResult{}, &Invalid{Faults: []merger.Fault{{File: f.Name, Problem: "not a configuration file", Remedy: "name it NAME.yaml"}}}
		}
	}
	commit := commit{Config: c, mark: c.NewMark(), base: base, files: files, removed: removed}
	var err error
	for attempt := range maxAttempts {
		if attempt > 0 {
			if waitErr := c.waitBackoff(ctx, attempt); waitErr != nil {
				break
			}
		}
		var done bool
		if done, err = commit.try(ctx); done {
			if err == nil && commit.result.Committed {
				commit.recordNumber(ctx, commit.result.Revision)
			}
			return commit.result, err
		}
	}
	return ApplyResult{}, &Unavailable{Op: "apply", OutcomeUnknown: commit.pendingRevision != 0, Cause: err}
}

func (c Config) waitBackoff(ctx context.Context, attempt int) error {
	maxDelay := c.Backoff << min(attempt-1, 4)
	timer := time.NewTimer(maxDelay/2 + rand.N(maxDelay/2+1))
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-timer.C:
		return nil
	}
}

// commit is the state of one Apply call across its attempts.
type commit struct {
	Config
	mark    string
	base    Manifest
	files   []merger.File
	removed []string
	// pendingRevision is the number of the revision whose commit was sent and has an unknown outcome; 0 for none.
	// The commit may still take effect as long as the head is below this number. One number is enough, because an
	// attempt at a higher number is made only after the head was seen to have passed the lower one.
	pendingRevision int64
	// pendingResult is the result to return if pendingRevision turns out to be committed.
	pendingResult ApplyResult
	result        ApplyResult
}

// try makes one attempt to commit. It returns false if Apply should retry.
func (c *commit) try(ctx context.Context) (bool, error) {
	s, err := c.read(ctx)
	if err != nil {
		return c.classifyError(err)
	}
	if c.pendingRevision != 0 && s.head.Revision >= c.pendingRevision {
		committed, err := c.isOwnCommit(ctx, c.pendingRevision)
		if err != nil {
			return c.classifyError(err)
		}
		if committed {
			c.result = c.pendingResult
			return true, nil
		}
		c.pendingRevision = 0
	}
	p, err := s.plan(c.base, c.files, c.removed)
	if err != nil {
		return true, err
	}
	if p.empty() {
		c.result = ApplyResult{Revision: s.head.Revision, Manifest: p.manifest}
		return true, nil
	}
	before, _ := c.Parser.Parse(s.sortedFiles())
	after, faults := c.Parser.Parse(p.merged(s))
	if len(faults) > 0 {
		return true, &Invalid{Faults: faults}
	}
	writes, result, err := c.prepare(ctx, s, p, before, after)
	if err != nil {
		return c.classifyError(err)
	}
	return c.transact(ctx, writes, result)
}

// transact sends the transaction and determines its outcome. It returns false if Apply should retry.
func (c *commit) transact(ctx context.Context, writes []storer.Write, result ApplyResult) (bool, error) {
	err := c.Table.Transact(ctx, writes)
	if err == nil {
		c.result = result
		return true, nil
	}
	if storer.IsKind(err, storer.Invalid) {
		return true, err
	}
	if !storer.IsKind(err, storer.Conflict) {
		c.pendingRevision, c.pendingResult = result.Revision, result
	}
	// A condition also fails if an earlier attempt of this commit, whose response was lost, has taken effect.
	committed, readErr := c.isOwnCommit(ctx, result.Revision)
	if readErr != nil {
		return c.classifyError(readErr)
	}
	if committed {
		c.result = result
		return true, nil
	}
	return false, err
}

// classifyError returns err, and true unless a retry may succeed.
func (c *commit) classifyError(err error) (bool, error) {
	if errors.Is(err, errConcurrentChange) || storer.IsKind(err, storer.Unavailable) || storer.IsKind(err, storer.NotFound) || storer.IsKind(err, storer.Conflict) {
		return false, err
	}
	if !errors.HasType(err, (*storer.Error)(nil)) && errors.IsAny(err, context.Canceled, context.DeadlineExceeded) {
		return false, err
	}
	return true, err
}

// isOwnCommit reports whether the revision with this number was committed with this commit's mark.
func (c *commit) isOwnCommit(ctx context.Context, number int64) (bool, error) {
	row, err := c.Table.Get(ctx, deltaPk, deltaSk(number))
	if storer.IsKind(err, storer.NotFound) {
		return false, nil
	}
	if err != nil {
		return false, err
	}
	return row.Mark == c.mark, nil
}

// prepare writes the objects that the commit refers to and returns the writes of its transaction. An object that no
// committed row refers to has no effect, so a failed attempt needs no clean-up; a retry writes the same objects again.
func (c *commit) prepare(ctx context.Context, s storedState, p plan, before, after merger.Items) ([]storer.Write, ApplyResult, error) {
	number, err := c.nextNumber(ctx, s.head.Revision)
	if err != nil {
		return nil, ApplyResult{}, err
	}
	now := c.Now().UnixMilli() //nolint:forbidigo // Shown to operators only.
	result := ApplyResult{Revision: number, Committed: true, Delta: merger.Diff(before, after), Manifest: p.manifest}
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
	if writes[0].Row, err = c.row(headPk, headSk, head); err != nil {
		return nil, result, err
	}
	writes[0].Expect = s.headVersion
	writes[1].Row, err = c.deltaRow(ctx, merger.NumberedDelta{Number: number, Skipped: number - 1 - s.head.Revision, Delta: result.Delta}, now)
	return writes, result, err
}

func (c *commit) row(pk, sk string, doc any) (storer.Row, error) {
	data, err := marshalUnescaped(doc)
	return storer.Row{Pk: pk, Sk: sk, Data: data, Mark: c.mark}, err
}

// nextNumber returns the number of the next revision. It is above those of all revisions that were committed, also those that
// a restore of the table has taken back: processes that have them in force must see that this one is newer.
func (c *commit) nextNumber(ctx context.Context, head int64) (int64, error) {
	highest := int64(0)
	content, err := c.Objects.GetObject(ctx, highestKey)
	switch {
	case storer.IsKind(err, storer.NotFound):
	case ctx.Err() != nil:
		return 0, err
	case err != nil:
		// A change must not wait for the object store, which it may not need otherwise.
		c.Log.Warn().Err(err).Msg("applier: number of the last commit not known; after a restore of the table the next could be one that was given out before")
	default:
		if highest, err = strconv.ParseInt(string(content), 10, 64); err != nil {
			return 0, errors.Wrapf(err, "decode object %s; delete it if it is damaged", highestKey)
		}
	}
	return max(highest, head, c.base.Revision) + 1, nil
}

// recordNumber records the number of a committed revision for nextNumber. If it fails, the next commit records its own.
func (c *commit) recordNumber(ctx context.Context, number int64) {
	err := c.Objects.PutObject(ctx, highestKey, []byte(strconv.FormatInt(number, 10)))
	if err != nil {
		c.Log.Warn().Err(err).Int64("Revision", number).Msg("applier: number of the revision not recorded; a restore of the table before the next commit could give it out again")
	}
}

func (c *commit) deltaRow(ctx context.Context, d merger.NumberedDelta, now int64) (storer.Row, error) {
	doc := deltaRow{Number: d.Number, Skipped: d.Skipped, Mark: c.mark, CommittedMs: now, Delta: &d.Delta}
	encoded, err := marshalUnescaped(d.Delta)
	if err != nil {
		return storer.Row{}, err
	}
	if len(encoded) > maxInlineDelta {
		// The mark makes the key unique when several operators commit the same number concurrently.
		doc.Delta, doc.Object = nil, fmt.Sprintf("%s%d-%s", deltaPrefix, d.Number, c.mark)
		if err := c.Objects.PutObject(ctx, doc.Object, encoded); err != nil {
			return storer.Row{}, err
		}
	}
	return c.row(deltaPk, deltaSk(d.Number), doc)
}

// snapshot writes a snapshot of the revision that the commit builds on, if one is due, and returns the number of the
// newest snapshot. It stores the committed revision and not the one being committed, because two operators who commit
// the same number concurrently would overwrite each other's object with different content.
// Errors are ignored: without a new snapshot followers only read more deltas, and the next commit tries again.
func (c *commit) snapshot(ctx context.Context, head wire.HeadRow, items merger.Items) int64 {
	if head.Revision-head.Snapshot < snapshotEvery {
		return head.Snapshot
	}
	body, err := marshalUnescaped(snapshot{Number: head.Revision, Items: items})
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
	s, err := c.withDefaults().readWithRetry(ctx)
	if err != nil {
		return Manifest{}, nil, err
	}
	m := Manifest{Revision: s.head.Revision, Files: make(map[string]FileVersion, len(s.files))}
	for name, f := range s.files {
		m.Files[name] = f.version
	}
	return m, s.sortedFiles(), nil
}

// readWithRetry calls read until it succeeds, at most maxAttempts times. Concurrent commits and an unavailable store
// are retried.
func (c Config) readWithRetry(ctx context.Context) (storedState, error) {
	var err error
	for attempt := range maxAttempts {
		if attempt > 0 && c.waitBackoff(ctx, attempt) != nil {
			break
		}
		var s storedState
		if s, err = c.read(ctx); err == nil {
			return s, nil
		}
		if !errors.Is(err, errConcurrentChange) && !storer.IsKind(err, storer.Unavailable) && !storer.IsKind(err, storer.NotFound) {
			return s, err
		}
	}
	return storedState{}, &Unavailable{Op: "pull", Cause: err}
}
