package applier

import (
	"context"
	"encoding/json"
	"fmt"
	"io/fs"
	"maps"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/fsnotify/fsnotify"

	"geraniumladder/internal/merger"
)

const (
	// stateDir is the subfolder of an operator's folder that holds the commands' own state.
	stateDir = ".geraniumladder"
	baseFile = "base.json"
	// remoteSuffix is appended to the name of a file when pull writes another operator's version of it, to be merged
	// by hand.
	remoteSuffix = ".remote"
	// removedFileContent is the content of a remoteSuffix file when the other operator removed the file.
	removedFileContent = "# This file was removed by another operator.\n"
	// DefaultDebounce is how long Watch waits after the last change before it applies the folder. Editors save a file
	// in several steps within a few milliseconds.
	DefaultDebounce = 200 * time.Millisecond
	// watchRetryDelay is the delay before Watch retries an apply that failed with *Unavailable.
	watchRetryDelay = 2 * time.Second
)

// Folder is the content of an operator's folder on disk.
type Folder struct {
	Files []merger.File
	// Base is the manifest stored by the last pull or apply; empty for a new folder.
	Base Manifest
	// Unmerged names the remoteSuffix files, which pull wrote for merging.
	Unmerged []string
}

// LoadFolder reads the configuration files in dir, not in its subfolders, and its base manifest.
func LoadFolder(dir string) (Folder, error) {
	entries, err := os.ReadDir(dir)
	if err != nil {
		return Folder{}, errors.Wrap(err, "read the folder; check that it exists")
	}
	var f Folder
	for _, e := range entries {
		switch {
		case e.IsDir():
		case strings.HasSuffix(e.Name(), remoteSuffix):
			f.Unmerged = append(f.Unmerged, e.Name())
		case merger.IsConfigFile(e.Name()):
			content, err := os.ReadFile(filepath.Join(dir, e.Name()))
			if errors.Is(err, fs.ErrNotExist) {
				// Removed since the folder was listed, for example by an editor that replaces files on save.
				continue
			}
			if err != nil {
				return Folder{}, errors.Wrap(err, "read a file in the folder; check its permissions")
			}
			f.Files = append(f.Files, merger.File{Name: e.Name(), Content: content})
		}
	}
	f.Base, err = loadBase(dir)
	return f, err
}

func loadBase(dir string) (Manifest, error) {
	path := filepath.Join(dir, stateDir, baseFile)
	data, err := os.ReadFile(path)
	if errors.Is(err, fs.ErrNotExist) {
		return Manifest{Files: map[string]FileVersion{}}, nil
	}
	if err != nil {
		return Manifest{}, errors.Wrap(err, "read the folder's base manifest; check its permissions")
	}
	var m Manifest
	if err := json.Unmarshal(data, &m); err != nil {
		return Manifest{}, errors.Wrapf(err, "%s is corrupt; delete it and pull", path)
	}
	if m.Files == nil {
		m.Files = map[string]FileVersion{}
	}
	return m, nil
}

func saveBase(dir string, m Manifest) error {
	data, err := json.MarshalIndent(m, "", "  ")
	if err != nil {
		return errors.Wrap(err, "encode the folder's base manifest")
	}
	if err := os.MkdirAll(filepath.Join(dir, stateDir), 0o755); err != nil {
		return errors.Wrap(err, "create the directory of the base manifest; check its permissions")
	}
	return WriteFile(filepath.Join(dir, stateDir, baseFile), append(data, '\n'))
}

// WriteFile replaces a file atomically, so that a reader never sees a partial file. The name of the temporary file
// starts with "." and is therefore not read as configuration.
func WriteFile(path string, content []byte) (err error) {
	defer func() { err = errors.Wrapf(err, "write %s; check free space and permissions", path) }()
	temp, err := os.CreateTemp(filepath.Dir(path), "."+filepath.Base(path)+".*")
	if err != nil {
		return err
	}
	defer func() {
		if err != nil {
			_ = temp.Close()
			_ = os.Remove(temp.Name())
		}
	}()
	if _, err := temp.Write(content); err != nil {
		return err
	}
	if err := temp.Chmod(0o644); err != nil {
		return err
	}
	if err := temp.Sync(); err != nil {
		return err
	}
	if err := temp.Close(); err != nil {
		return err
	}
	return os.Rename(temp.Name(), path)
}

// Edits returns the files that differ from the base manifest, and the names of files that are in the base manifest but
// no longer in the folder.
func (f Folder) Edits() (changed []merger.File, removed []string) {
	present := map[string]bool{}
	for _, file := range f.Files {
		present[file.Name] = true
		if base, ok := f.Base.Files[file.Name]; !ok || base.Digest != digestOf(file.Content) {
			changed = append(changed, file)
		}
	}
	for _, name := range slices.Sorted(maps.Keys(f.Base.Files)) {
		if !present[name] {
			removed = append(removed, name)
		}
	}
	return changed, removed
}

// Difference describes what applying a folder would change.
type Difference struct {
	// Revision is the newest revision, which the changes would build on.
	Revision int64
	Changed  []string
	Removed  []string
	Delta    merger.Delta
}

// DiffFolder returns what ApplyFolder would change. It returns the same errors.
func DiffFolder(ctx context.Context, c Config, dir string) (Difference, error) {
	folder, err := loadMergedFolder(dir)
	if err != nil {
		return Difference{}, err
	}
	c = c.withDefaults()
	s, err := c.readWithRetry(ctx)
	if err != nil {
		return Difference{}, err
	}
	changed, removed := folder.Edits()
	p, err := s.plan(folder.Base, changed, removed)
	if err != nil {
		return Difference{}, err
	}
	before, _ := c.Parser.Parse(s.sortedFiles())
	after, faults := c.Parser.Parse(p.merged(s))
	if len(faults) > 0 {
		return Difference{}, &Invalid{Faults: faults}
	}
	d := Difference{Revision: s.head.Revision, Removed: p.removed, Delta: merger.Diff(before, after)}
	for _, f := range p.changed {
		d.Changed = append(d.Changed, f.Name)
	}
	return d, nil
}

// loadMergedFolder is LoadFolder, but returns *Conflict if the folder has unmerged files.
func loadMergedFolder(dir string) (Folder, error) {
	folder, err := LoadFolder(dir)
	if err == nil && len(folder.Unmerged) > 0 {
		err = &Conflict{Files: folder.Unmerged, Unmerged: true}
	}
	return folder, err
}

// ApplyFolder applies the edits made in dir and records the new versions in its base manifest.
func ApplyFolder(ctx context.Context, c Config, dir string) (ApplyResult, error) {
	folder, err := loadMergedFolder(dir)
	if err != nil {
		return ApplyResult{}, err
	}
	changed, removed := folder.Edits()
	result, err := Apply(ctx, c, folder.Base, changed, removed)
	if err != nil {
		return result, err
	}
	// Load the base manifest again, because another command may have updated other files of the folder meanwhile.
	base, err := loadBase(dir)
	if err != nil {
		return result, err
	}
	for _, f := range changed {
		base.Files[f.Name] = result.Manifest.Files[f.Name]
	}
	for _, name := range removed {
		delete(base.Files, name)
	}
	base.Revision = max(base.Revision, result.Manifest.Revision)
	return result, saveBase(dir, base)
}

// PullResult is the outcome of PullFolder.
type PullResult struct {
	Revision int64
	// Updated and Removed are the names of the files that were written and deleted.
	Updated []string
	Removed []string
	// Unmerged names the files edited both here and by another operator. The other version is written next to each
	// file with the suffix ".remote"; apply rejects the folder until that file is deleted.
	Unmerged []string
}

// RemoteFiles returns the names of the ".remote" files that belong to Unmerged.
func (p PullResult) RemoteFiles() []string {
	names := make([]string, len(p.Unmerged))
	for i, name := range p.Unmerged {
		names[i] = name + remoteSuffix
	}
	return names
}

// PullFolder updates dir to the files of the newest revision and keeps local edits.
func PullFolder(ctx context.Context, c Config, dir string) (PullResult, error) {
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return PullResult{}, errors.Wrap(err, "create the folder; check its permissions")
	}
	folder, err := loadMergedFolder(dir)
	if err != nil {
		return PullResult{}, err
	}
	manifest, remote, err := Pull(ctx, c)
	if err != nil {
		return PullResult{}, err
	}
	pulled := PullResult{Revision: manifest.Revision}
	changed, deleted := folder.Edits()
	edited := map[string]bool{}
	for _, f := range changed {
		edited[f.Name] = true
	}
	for _, name := range deleted {
		edited[name] = true
	}
	local := map[string][]byte{}
	for _, f := range folder.Files {
		local[f.Name] = f.Content
	}
	for _, f := range remote {
		content, here := local[f.Name]
		base := folder.Base.Files[f.Name]
		switch {
		case here && string(content) == string(f.Content):
		case !edited[f.Name]:
			err = WriteFile(filepath.Join(dir, f.Name), f.Content)
			pulled.Updated = append(pulled.Updated, f.Name)
		case base.Version != manifest.Files[f.Name].Version:
			err = WriteFile(filepath.Join(dir, f.Name+remoteSuffix), f.Content)
			pulled.Unmerged = append(pulled.Unmerged, f.Name)
		}
		if err != nil {
			return pulled, err
		}
	}
	for name := range folder.Base.Files {
		_, here := local[name]
		if _, exists := manifest.Files[name]; exists || !here {
			continue
		}
		if edited[name] {
			err = WriteFile(filepath.Join(dir, name+remoteSuffix), []byte(removedFileContent))
			pulled.Unmerged = append(pulled.Unmerged, name)
		} else {
			err = os.Remove(filepath.Join(dir, name))
			pulled.Removed = append(pulled.Removed, name)
		}
		if err != nil {
			return pulled, errors.Wrap(err, "pull")
		}
	}
	slices.Sort(pulled.Removed)
	slices.Sort(pulled.Unmerged)
	// The base manifest is saved last: after a crash before this point, apply finds the pulled files equal to the
	// stored ones and reports no conflict.
	return pulled, saveBase(dir, manifest)
}

// WatchConfig configures Watch.
type WatchConfig struct {
	Config
	// Debounce defaults to DefaultDebounce.
	Debounce time.Duration
	// Report is called after each apply that committed a change or failed.
	Report func(ApplyResult, error)
}

// Watch applies dir at start and after each change of a file, until ctx is done. A failed apply is reported and retried
// at the next change; one that failed with *Unavailable is also retried after 2 s.
func Watch(ctx context.Context, c WatchConfig, dir string) error {
	if c.Debounce == 0 {
		c.Debounce = DefaultDebounce
	}
	if c.Parser == nil {
		c.Parser = new(merger.Parser)
	}
	watcher, err := fsnotify.NewWatcher()
	if err != nil {
		return errors.Wrap(err, "watch the folder; raise the system's limit of inotify instances")
	}
	defer func() { _ = watcher.Close() }()
	if err := watcher.Add(dir); err != nil {
		return errors.Wrapf(err, "watch %s; name an existing folder", dir)
	}
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case event := <-watcher.Events:
			if filepath.Clean(event.Name) == filepath.Clean(dir) && event.Has(fsnotify.Remove|fsnotify.Rename) {
				return errors.Newf("%s was removed; create it and start again", dir)
			}
			if isWatched(event.Name) {
				timer.Reset(c.Debounce)
			}
		case err := <-watcher.Errors:
			// Events may have been lost, so any file may have changed.
			c.Report(ApplyResult{}, errors.Wrap(err, "watch the folder; all files are read again"))
			timer.Reset(c.Debounce)
		case <-timer.C:
			if c.applyOnce(ctx, dir) {
				timer.Reset(watchRetryDelay)
			}
		}
	}
}

// applyOnce applies the folder, reports the outcome and returns true if the apply should be retried.
func (c WatchConfig) applyOnce(ctx context.Context, dir string) bool {
	result, err := ApplyFolder(ctx, c.Config, dir)
	if ctx.Err() != nil {
		return false
	}
	if err != nil || result.Committed {
		c.Report(result, err)
	}
	var unavailable *Unavailable
	return errors.As(err, &unavailable)
}

func isWatched(path string) bool {
	name := filepath.Base(path)
	return merger.IsConfigFile(name) || strings.HasSuffix(name, remoteSuffix)
}

// String describes the difference with one line per changed file and item.
func (d Difference) String() string {
	var b strings.Builder
	for _, name := range d.Changed {
		fmt.Fprintf(&b, "file %s changed\n", name)
	}
	for _, name := range d.Removed {
		fmt.Fprintf(&b, "file %s removed\n", name)
	}
	writeChanges(&b, "organisation", d.Delta.Organisations)
	writeChanges(&b, "key", d.Delta.Keys)
	writeChanges(&b, "adapter", d.Delta.Adapters)
	writeChanges(&b, "route", d.Delta.Routes)
	writeChanges(&b, "objective", d.Delta.Objectives)
	writeChanges(&b, "evacuation", d.Delta.Evacuations)
	return b.String()
}

func writeChanges[T any](b *strings.Builder, kind string, c merger.Changes[T]) {
	for _, name := range slices.Sorted(maps.Keys(c.Set)) {
		fmt.Fprintf(b, "%s %s set\n", kind, name)
	}
	for _, name := range c.Removed {
		fmt.Fprintf(b, "%s %s removed\n", kind, name)
	}
}
