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
	// stateDir in an operators' folder holds what the commands remember of it.
	stateDir = ".geraniumladder"
	baseFile = "base.json"
	// remoteSuffix marks another operator's version of a file, left by pull for merging by hand.
	remoteSuffix = ".remote"
	// removedNote is the other operator's version of a file that was removed.
	removedNote = "# This file was removed by another operator.\n"
	// DefaultDebounce is the quiet time after a change before Watch applies the folder. Editors write a file in
	// several steps within a few milliseconds.
	DefaultDebounce = 200 * time.Millisecond
	// watchRetry is the wait before Watch repeats an apply that the platform did not answer.
	watchRetry = 2 * time.Second
)

// Folder is an operators' folder as read from the disk.
type Folder struct {
	Files []merger.File
	// Base is the manifest of the last pull or apply; empty for a new folder.
	Base Manifest
	// Unmerged names the versions of other operators that pull left for merging.
	Unmerged []string
}

// LoadFolder reads the configuration files of dir, without its subfolders, and its base.
func LoadFolder(dir string) (Folder, error) {
	entries, err := os.ReadDir(dir)
	if err != nil {
		return Folder{}, errors.Wrap(err, "read the folder; name an existing one")
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
				// An editor replaced it since the folder was listed.
				continue
			}
			if err != nil {
				return Folder{}, errors.Wrap(err, "read a file of the folder; check its permissions")
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
		return Manifest{}, errors.Wrap(err, "read the base of the folder; check its permissions")
	}
	var m Manifest
	if err := json.Unmarshal(data, &m); err != nil {
		return Manifest{}, errors.Wrapf(err, "%s is damaged; delete it and pull", path)
	}
	if m.Files == nil {
		m.Files = map[string]FileVersion{}
	}
	return m, nil
}

func saveBase(dir string, m Manifest) error {
	data, err := json.MarshalIndent(m, "", "  ")
	if err != nil {
		return errors.Wrap(err, "encode the base of the folder")
	}
	if err := os.MkdirAll(filepath.Join(dir, stateDir), 0o755); err != nil {
		return errors.Wrap(err, "create the folder of the base; check its permissions")
	}
	return WriteFile(filepath.Join(dir, stateDir, baseFile), append(data, '\n'))
}

// WriteFile replaces a file as a whole, so that a reader never sees half of it. The temporary file's name starts
// with "." and is therefore not read as configuration.
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

// Edits returns the files that differ from the base, and the names of those that the base has and the folder lacks.
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

// Difference is what an apply of a folder would change.
type Difference struct {
	// Revision is the newest one, on which the folder would be applied.
	Revision int64
	Changed  []string
	Removed  []string
	Delta    merger.Delta
}

// DiffFolder returns what ApplyFolder would change, with the same errors.
func DiffFolder(ctx context.Context, c Config, dir string) (Difference, error) {
	folder, err := loadMerged(dir)
	if err != nil {
		return Difference{}, err
	}
	c = c.withDefaults()
	s, err := c.readSettled(ctx)
	if err != nil {
		return Difference{}, err
	}
	changed, removed := folder.Edits()
	p, err := s.plan(folder.Base, changed, removed)
	if err != nil {
		return Difference{}, err
	}
	before, _ := c.Parser.Parse(s.list())
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

func loadMerged(dir string) (Folder, error) {
	folder, err := LoadFolder(dir)
	if err == nil && len(folder.Unmerged) > 0 {
		err = &Conflict{Files: folder.Unmerged, Unmerged: true}
	}
	return folder, err
}

// ApplyFolder applies the edits of dir and records the new versions in its base.
func ApplyFolder(ctx context.Context, c Config, dir string) (Result, error) {
	folder, err := loadMerged(dir)
	if err != nil {
		return Result{}, err
	}
	changed, removed := folder.Edits()
	result, err := Apply(ctx, c, folder.Base, changed, removed)
	if err != nil {
		return result, err
	}
	// The base is read again, because another command may have worked on other files of the folder meanwhile.
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

// Pulled is the outcome of PullFolder.
type Pulled struct {
	Revision int64
	// Updated and Removed name the files that were written and deleted.
	Updated []string
	Removed []string
	// Unmerged names the files edited here and by another operator. The other version is beside each, with the
	// suffix ".remote"; apply refuses the folder until that file is deleted.
	Unmerged []string
}

// Remotes names the files with the other versions of Unmerged.
func (p Pulled) Remotes() []string {
	names := make([]string, len(p.Unmerged))
	for i, name := range p.Unmerged {
		names[i] = name + remoteSuffix
	}
	return names
}

// PullFolder brings the files of the newest revision into dir and keeps the edits made there.
func PullFolder(ctx context.Context, c Config, dir string) (Pulled, error) {
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return Pulled{}, errors.Wrap(err, "create the folder; check its permissions")
	}
	folder, err := loadMerged(dir)
	if err != nil {
		return Pulled{}, err
	}
	manifest, remote, err := Pull(ctx, c)
	if err != nil {
		return Pulled{}, err
	}
	pulled := Pulled{Revision: manifest.Revision}
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
			err = WriteFile(filepath.Join(dir, name+remoteSuffix), []byte(removedNote))
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
	// The base is written last: after a crash before this, apply finds the pulled content equal to the stored one.
	return pulled, saveBase(dir, manifest)
}

// WatchConfig configures Watch.
type WatchConfig struct {
	Config
	// Debounce is DefaultDebounce when 0.
	Debounce time.Duration
	// Report is called after each apply that committed something or was refused.
	Report func(Result, error)
}

// Watch applies dir at its start and after each change of a file until ctx ends. A refused apply is reported and
// tried again at the next change; one that the platform did not answer is repeated after 2 s.
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
			// Events were lost, so that any file may have changed.
			c.Report(Result{}, errors.Wrap(err, "watch the folder; all files are read again"))
			timer.Reset(c.Debounce)
		case <-timer.C:
			if c.applyOnce(ctx, dir) {
				timer.Reset(watchRetry)
			}
		}
	}
}

// applyOnce applies the folder, reports what came of it and says whether to repeat it.
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

// String describes the difference in one line for each changed item.
func (d Difference) String() string {
	var b strings.Builder
	for _, name := range d.Changed {
		fmt.Fprintf(&b, "file %s changed\n", name)
	}
	for _, name := range d.Removed {
		fmt.Fprintf(&b, "file %s removed\n", name)
	}
	describe(&b, "organisation", d.Delta.Organisations)
	describe(&b, "key", d.Delta.Keys)
	describe(&b, "adapter", d.Delta.Adapters)
	describe(&b, "route", d.Delta.Routes)
	describe(&b, "objective", d.Delta.Objectives)
	return b.String()
}

func describe[T any](b *strings.Builder, kind string, c merger.Changes[T]) {
	for _, name := range slices.Sorted(maps.Keys(c.Set)) {
		fmt.Fprintf(b, "%s %s set\n", kind, name)
	}
	for _, name := range c.Removed {
		fmt.Fprintf(b, "%s %s removed\n", kind, name)
	}
}
