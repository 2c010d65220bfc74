package merger

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"
)

// File is one file of the operators' folder.
type File struct {
	// Name is the file's name without a folder.
	Name    string
	Content []byte
}

// Limits of a folder. A file has to fit into a row of the table service (400 KB) as a JSON string.
// 32 MB holds about 200,000 adapters of 150 bytes each.
const (
	MaxFileBytes  = 256 << 10
	MaxTotalBytes = 32 << 20
	// MaxFiles keeps the manifest, which lists every file, within one row of the table service.
	MaxFiles = 2000
	// MaxNameLength bounds the names of items and files.
	MaxNameLength = 100
)

// Ranges of the values of items.
const (
	MaxRate         = 1e9
	MinWeight       = 0.001
	MaxWeight       = 1000
	DefaultDeadline = 2 * time.Minute
	MinDeadline     = 100 * time.Millisecond
	MaxDeadline     = 10 * time.Minute
	MaxPriority     = 10
)

// LoadsOrganisation is reserved: the permits for adapter loads are counted under this name.
const LoadsOrganisation = "loads"

// Fault is one reason why a folder is not accepted.
type Fault struct {
	File string
	// Line counts from 1; 0 when the fault concerns the file as a whole.
	Line int
	// Field is the path of the field, as in "Routes[2].Targets[0].Weight"; empty for the file as a whole.
	Field   string
	Problem string
	// Remedy says what to change.
	Remedy string
}

// String returns "FILE:LINE: Field: problem; remedy".
func (f Fault) String() string {
	if f.Field == "" {
		return fmt.Sprintf("%s:%d: %s; %s", f.File, f.Line, f.Problem, f.Remedy)
	}
	return fmt.Sprintf("%s:%d: %s: %s; %s", f.File, f.Line, f.Field, f.Problem, f.Remedy)
}

// IsConfigFile says whether a file of this name belongs to the configuration: it ends with .yaml or .yml and
// does not start with ".", as the temporary files of editors do.
func IsConfigFile(name string) bool {
	return !strings.HasPrefix(name, ".") && (strings.HasSuffix(name, ".yaml") || strings.HasSuffix(name, ".yml"))
}

// Parse merges the files in the order of their names and checks the whole. It returns every fault that it finds;
// the items are usable only when there is none. Files that IsConfigFile excludes are ignored.
//
// A later file may restate an organisation, adapter, route or objective of an earlier file only with Override: true;
// the whole item is then replaced. Keys may never be restated, and two items of one name in one file are a fault.
func Parse(files []File) (Items, []Fault) { return new(Parser).Parse(files) }

// Parser is Parse with a memory of the files of the last two calls, which are decoded only when they changed:
// decoding 53,000 adapters takes over a second, merging and checking them a small part of that.
// It is not safe for use by several goroutines.
type Parser struct {
	current, previous map[string]decoded
}

// decoded is what a file holds by itself, before merging.
type decoded struct {
	document   document
	faults     []Fault
	unreadable bool
}

func (p *Parser) decode(f File) decoded {
	id := f.Name + "\x00" + string(f.Content)
	if known, ok := p.previous[id]; ok {
		p.current[id] = known
		return known
	}
	d := decoder{file: f.Name}
	doc := d.document(f.Content)
	p.current[id] = decoded{document: doc, faults: d.faults, unreadable: d.unreadable}
	return p.current[id]
}

// Parse is as the function Parse.
func (p *Parser) Parse(files []File) (Items, []Fault) {
	p.previous, p.current = p.current, make(map[string]decoded, len(files))
	files = slices.DeleteFunc(slices.Clone(files), func(f File) bool { return !IsConfigFile(f.Name) })
	slices.SortStableFunc(files, func(a, b File) int { return cmp.Compare(a.Name, b.Name) })
	c := checker{faults: checkFiles(files), undecoded: map[[2]string]bool{}}
	var docs []document
	for _, f := range files {
		if len(f.Content) > MaxFileBytes {
			c.unreadable = true
			continue
		}
		d := p.decode(f)
		docs = append(docs, d.document)
		c.faults = append(c.faults, d.faults...)
		c.unreadable = c.unreadable || d.unreadable
		for _, fault := range d.faults {
			c.undecoded[[2]string{fault.File, fault.Field}] = true
		}
	}
	items := c.merge(docs)
	if !c.unreadable {
		// With an unreadable file every reference into it would look dangling, which hides the real fault.
		c.references()
	}
	slices.SortStableFunc(c.faults, func(a, b Fault) int {
		return cmp.Or(cmp.Compare(a.File, b.File), cmp.Compare(a.Line, b.Line), cmp.Compare(a.Field, b.Field), cmp.Compare(a.Problem, b.Problem))
	})
	return items, c.faults
}

func checkFiles(files []File) []Fault {
	var faults []Fault
	total := 0
	for i, f := range files {
		total += len(f.Content)
		fault := Fault{File: f.Name, Line: 0}
		if i > 0 && files[i-1].Name == f.Name {
			fault.Problem, fault.Remedy = "a second file of this name", "join the two files"
			faults = append(faults, fault)
		}
		if !validFileName(f.Name) {
			fault.Problem, fault.Remedy = "the file's name has characters outside A-Z a-z 0-9 . _ -", fmt.Sprintf("rename the file, with at most %d characters", MaxNameLength)
			faults = append(faults, fault)
		}
		if len(f.Content) > MaxFileBytes {
			fault.Problem = fmt.Sprintf("%d bytes, over the limit of %d", len(f.Content), MaxFileBytes)
			fault.Remedy = "split it into several files"
			faults = append(faults, fault)
		}
	}
	if total > MaxTotalBytes {
		faults = append(faults, Fault{File: files[len(files)-1].Name,
			Problem: fmt.Sprintf("all files together have %d bytes, over the limit of %d", total, MaxTotalBytes), Remedy: "remove items that are no longer used"})
	}
	if len(files) > MaxFiles {
		faults = append(faults, Fault{File: files[len(files)-1].Name,
			Problem: fmt.Sprintf("%d files, over the limit of %d", len(files), MaxFiles), Remedy: "join small files"})
	}
	return faults
}

func validFileName(name string) bool {
	return len(name) <= MaxNameLength && strings.IndexFunc(name, func(r rune) bool {
		return !isNameRune(r) && (r < 'A' || r > 'Z')
	}) < 0
}

func isNameRune(r rune) bool {
	return r >= 'a' && r <= 'z' || r >= '0' && r <= '9' || r == '.' || r == '_' || r == '-'
}

// checker collects the faults of the merged items.
type checker struct {
	faults     []Fault
	unreadable bool
	// undecoded holds file and field of each fault of the decoder.
	undecoded map[[2]string]bool

	organisations map[string]parsed[Organisation]
	keys          map[string]parsed[Key]
	adapters      map[string]parsed[Adapter]
	routes        map[string]parsed[Route]
	objectives    map[string]parsed[Objective]
}

func (c *checker) add(p place, field, problem, remedy string) {
	c.faults = append(c.faults, p.fault(field, problem, remedy))
}

func (c *checker) merge(docs []document) Items {
	for _, doc := range docs {
		for i := range doc.organisations {
			c.organisation(&doc.organisations[i])
		}
		for i := range doc.keys {
			c.key(&doc.keys[i])
		}
		for i := range doc.adapters {
			c.adapter(&doc.adapters[i])
		}
		for i := range doc.routes {
			c.route(&doc.routes[i])
		}
		for i := range doc.objectives {
			c.objective(&doc.objectives[i])
		}
	}
	c.organisations = mergeList(c, docs, func(d document) []parsed[Organisation] { return d.organisations }, func(o Organisation) string { return o.Name })
	c.keys = mergeList(c, docs, func(d document) []parsed[Key] { return d.keys }, func(k Key) string { return k.ID })
	c.adapters = mergeList(c, docs, func(d document) []parsed[Adapter] { return d.adapters }, func(a Adapter) string { return a.Name })
	c.routes = mergeList(c, docs, func(d document) []parsed[Route] { return d.routes }, func(r Route) string { return r.Name })
	c.objectives = mergeList(c, docs, func(d document) []parsed[Objective] { return d.objectives }, func(o Objective) string { return o.Name })
	return Items{
		Organisations: itemsOf(c.organisations),
		Keys:          itemsOf(c.keys),
		Adapters:      itemsOf(c.adapters),
		Routes:        itemsOf(c.routes),
		Objectives:    itemsOf(c.objectives),
	}
}

// mergeList merges one kind of item over all files by the override rule.
func mergeList[T any](c *checker, docs []document, list func(document) []parsed[T], name func(T) string) map[string]parsed[T] {
	merged := map[string]parsed[T]{}
	_, isKey := any(*new(T)).(Key)
	nameField := "Name"
	if isKey {
		nameField = "Id"
	}
	for _, doc := range docs {
		for _, p := range list(doc) {
			n := name(p.item)
			if n == "" {
				continue
			}
			earlier, restated := merged[n]
			first := fmt.Sprintf("%s:%d", earlier.place.file, earlier.place.line)
			switch {
			case restated && earlier.place.file == p.place.file:
				c.add(p.place, nameField, fmt.Sprintf("%q is already stated in %s", n, first), "remove or rename one of the two")
				continue
			case restated && isKey:
				c.add(p.place, nameField, fmt.Sprintf("key %q is already stated in %s", n, first), "remove one of the two; keys may not be restated")
				continue
			case restated && !p.override:
				c.add(p.place, nameField, fmt.Sprintf("%q is already stated in %s", n, first), "rename it, or write Override: true to replace the earlier one")
				continue
			case !restated && p.override && !c.unreadable:
				c.add(p.place, "Override", fmt.Sprintf("no earlier file states %q", n), "remove Override, or correct the name")
			}
			merged[n] = p
		}
	}
	return merged
}

func itemsOf[T any](merged map[string]parsed[T]) map[string]T {
	items := make(map[string]T, len(merged))
	for name, p := range merged {
		items[name] = p.item
	}
	return items
}

func (c *checker) name(p place, field, value string) {
	switch {
	case value == "" && !p.given(field):
		c.reportOnce(p.fault(field, "missing", "give a name of a-z 0-9 . _ -"))
	case value == "":
		c.reportOnce(p.fault(field, "empty", "give a value"))
	case len(value) > MaxNameLength:
		c.add(p, field, fmt.Sprintf("%d characters, over the limit of %d", len(value), MaxNameLength), "shorten it")
	case strings.IndexFunc(value, func(r rune) bool { return !isNameRune(r) }) >= 0:
		c.add(p, field, fmt.Sprintf("%q has characters outside a-z 0-9 . _ -", value), "rename it")
	}
}

// required checks a text that is not a name.
func (c *checker) required(p place, field, value, example string) {
	switch {
	case value == "" && !p.given(field):
		c.reportOnce(p.fault(field, "missing", "give it, as in "+example))
	case value == "":
		c.reportOnce(p.fault(field, "empty", "give a value"))
	case strings.IndexFunc(value, func(r rune) bool { return r <= ' ' || r == 0x7f || r == '@' }) >= 0:
		c.add(p, field, fmt.Sprintf("%q has spaces, control characters or @", value), "write it as in "+example)
	}
}

// within checks a number's range. A field that the decoder rejected was reported there, and its value is 0.
func (c *checker) within(p place, field string, value, low, high float64, unit string) {
	if !p.given(field) {
		c.add(p, field, "missing", fmt.Sprintf("give a number of %s, at least %g and at most %g", unit, low, high))
		return
	}
	if value < low || value > high {
		c.reportOnce(p.fault(field, fmt.Sprintf("%g is out of range", value), fmt.Sprintf("give a number of %s, at least %g and at most %g", unit, low, high)))
	}
}

// reportOnce adds the fault unless the decoder has already reported the field or what holds it.
func (c *checker) reportOnce(fault Fault) {
	if !c.undecoded[[2]string{fault.File, fault.Field}] && !c.undecoded[[2]string{fault.File, parent(fault.Field)}] {
		c.faults = append(c.faults, fault)
	}
}

func (c *checker) weight(p place, field string, value *float64) {
	if !p.given(field) {
		*value = 1
		return
	}
	c.within(p, field, *value, MinWeight, MaxWeight, "shares")
}

func (c *checker) organisation(p *parsed[Organisation]) {
	c.name(p.place, "Name", p.item.Name)
	if p.item.Name == LoadsOrganisation {
		c.add(p.place, "Name", fmt.Sprintf("%q is reserved for the permits of adapter loads", p.item.Name), "rename it")
	}
	c.within(p.place, "Rate", p.item.Rate, 1, MaxRate, "tokens a second")
	c.within(p.place, "Burst", p.item.Burst, 1, MaxRate, "tokens")
	c.weight(p.place, "Weight", &p.item.Weight)
}

func (c *checker) key(p *parsed[Key]) {
	c.name(p.place, "Id", p.item.ID)
	c.name(p.place, "Organisation", p.item.Organisation)
	digest := p.item.Digest
	valid := len(digest) == 64 && strings.IndexFunc(digest, func(r rune) bool { return (r < '0' || r > '9') && (r < 'a' || r > 'f') }) < 0
	if !valid {
		// The value is not repeated, because it may be a secret put in the wrong place.
		c.reportOnce(p.place.fault("Digest", "not a SHA-256 in lower-case hexadecimal", "issue the key with \"key issue\", which writes the Digest"))
	}
}

func (c *checker) adapter(p *parsed[Adapter]) {
	c.name(p.place, "Name", p.item.Name)
	c.required(p.place, "BaseModel", p.item.BaseModel, "llama-3-8b")
	if len(p.item.Versions) == 0 {
		c.reportOnce(p.place.fault("Versions", "no version", "give at least one version with its Path"))
	}
	seen := map[string]bool{}
	for i, v := range p.item.Versions {
		at := fmt.Sprintf("Versions[%d]", i)
		c.name(p.place, at+".Version", v.Version)
		c.required(p.place, at+".Path", v.Path, "adapters/quotes/3")
		if strings.Contains(v.Path, "..") {
			c.add(p.place, at+".Path", "contains \"..\"", "write the path from the top of the weight store")
		}
		if v.Version != "" && seen[v.Version] {
			c.add(p.place, at+".Version", fmt.Sprintf("version %q is stated twice", v.Version), "remove one of the two")
		}
		seen[v.Version] = true
	}
}

func (c *checker) route(p *parsed[Route]) {
	r := &p.item
	c.name(p.place, "Name", r.Name)
	switch {
	case r.Open && len(r.Organisations) > 0:
		c.add(p.place, "Organisations", "listed although the route is open to everyone", "remove Open or Organisations")
	case !r.Open && len(r.Organisations) == 0:
		c.reportOnce(p.place.fault("Organisations", "no organisation may use the route", "list at least one, or write Open: true"))
	}
	switch {
	case len(r.Targets) > 0 && r.Service != "":
		c.add(p.place, "Service", "stated together with Targets", "remove one of the two")
	case len(r.Targets) == 0 && r.Service == "":
		c.reportOnce(p.place.fault("Targets", "neither Targets nor Service", "list the adapter versions in Targets, or name a Service"))
	}
	if r.Service != "" {
		c.name(p.place, "Service", r.Service)
	}
	if !p.place.given("Deadline") {
		r.Deadline = DefaultDeadline
	} else if r.Deadline < MinDeadline || r.Deadline > MaxDeadline {
		c.reportOnce(p.place.fault("Deadline", fmt.Sprintf("%s is out of range", r.Deadline), fmt.Sprintf("give %s to %s", MinDeadline, MaxDeadline)))
	}
	if r.Priority < -MaxPriority || r.Priority > MaxPriority {
		c.add(p.place, "Priority", fmt.Sprintf("%d is out of range", r.Priority), fmt.Sprintf("give %d to %d", -MaxPriority, MaxPriority))
	}
	c.targets(p)
	c.calls(p)
}

func (c *checker) targets(p *parsed[Route]) {
	seen := map[string]bool{}
	for i := range p.item.Targets {
		t := &p.item.Targets[i]
		at := fmt.Sprintf("Targets[%d]", i)
		c.name(p.place, at+".Adapter", t.Adapter)
		c.name(p.place, at+".Version", t.Version)
		c.weight(p.place, at+".Weight", &t.Weight)
		target := t.Adapter + "@" + t.Version
		if seen[target] {
			c.add(p.place, at, fmt.Sprintf("target %s is listed twice", target), "join the two and add their weights")
		}
		seen[target] = true
	}
}

func (c *checker) calls(p *parsed[Route]) {
	if len(p.item.Calls) > 0 && p.item.Service == "" {
		c.add(p.place, "Calls", "stated without a Service", "remove Calls; the calls of a model route are always repeatable")
	}
	for i, call := range p.item.Calls {
		at := fmt.Sprintf("Calls[%d]", i)
		if call.Method != "*" && (call.Method == "" || strings.Trim(call.Method, "ABCDEFGHIJKLMNOPQRSTUVWXYZ") != "") {
			c.reportOnce(p.place.fault(at+".Method", fmt.Sprintf("%q is not a method", call.Method), "write it in capitals, as in POST, or * for all"))
		}
		if !strings.HasPrefix(call.Path, "/") || strings.Contains(strings.TrimSuffix(call.Path, "*"), "*") {
			c.reportOnce(p.place.fault(at+".Path", fmt.Sprintf("%q is not a path", call.Path), "start it with /; only its last character may be *"))
		}
		if !p.place.given(at + ".Repeatable") {
			c.reportOnce(p.place.fault(at+".Repeatable", "missing", "write true or false"))
		}
	}
}

func (c *checker) objective(p *parsed[Objective]) {
	o := p.item
	c.name(p.place, "Name", o.Name)
	if o.Organisation != "" {
		c.name(p.place, "Organisation", o.Organisation)
	}
	switch o.Indicator {
	case "FirstToken", "BetweenTokens":
		if o.Threshold <= 0 || o.Threshold > MaxDeadline {
			c.reportOnce(p.place.fault("Threshold", "missing or out of range", fmt.Sprintf("give a duration up to %s, as in 450ms", MaxDeadline)))
		}
	case "WrongfulRefusals", "Availability":
		if p.place.given("Threshold") {
			c.add(p.place, "Threshold", "does not apply to "+o.Indicator, "remove it")
		}
	default:
		c.reportOnce(p.place.fault("Indicator", fmt.Sprintf("%q is not an indicator", o.Indicator), "use FirstToken, BetweenTokens, WrongfulRefusals or Availability"))
	}
	// A target of 1 leaves no events that may fail, so that no burn rate can be computed.
	if o.Target <= 0 || o.Target >= 1 {
		c.reportOnce(p.place.fault("Target", fmt.Sprintf("%g is out of range", o.Target), "give a share above 0 and below 1, as in 0.95"))
	}
}

// references checks what the merged items say about each other.
func (c *checker) references() {
	byDigest := map[string]place{}
	for _, id := range slices.Sorted(maps.Keys(c.keys)) {
		p := c.keys[id]
		c.organisationExists(p.place, "Organisation", p.item.Organisation)
		if first, twice := byDigest[p.item.Digest]; twice && p.item.Digest != "" {
			c.add(p.place, "Digest", fmt.Sprintf("the same as that of the key in %s:%d", first.file, first.line), "issue a key of its own for each ID")
		}
		byDigest[p.item.Digest] = p.place
	}
	for _, p := range c.routes {
		for i, o := range p.item.Organisations {
			field := fmt.Sprintf("Organisations[%d]", i)
			c.organisationExists(p.place, field, o)
			if slices.Contains(p.item.Organisations[:i], o) && o != "" {
				c.add(p.place, field, fmt.Sprintf("%q is listed twice", o), "remove one of the two")
			}
		}
		if _, ok := c.organisations[OpenOrganisation]; p.item.Open && !ok {
			c.add(p.place, "Open", "requests without a key have no limit to be counted for", fmt.Sprintf("add an organisation named %q with Rate and Burst", OpenOrganisation))
		}
		for i, t := range p.item.Targets {
			c.targetExists(p.place, fmt.Sprintf("Targets[%d]", i), t)
		}
	}
	for _, p := range c.objectives {
		c.organisationExists(p.place, "Organisation", p.item.Organisation)
	}
}

func (c *checker) organisationExists(p place, field, name string) {
	if _, ok := c.organisations[name]; !ok && name != "" {
		c.add(p, field, fmt.Sprintf("there is no organisation %q", name), "add it to Organisations, or correct the name")
	}
}

func (c *checker) targetExists(p place, at string, t Target) {
	adapter, ok := c.adapters[t.Adapter]
	if !ok {
		if t.Adapter != "" {
			c.add(p, at+".Adapter", fmt.Sprintf("there is no adapter %q", t.Adapter), "add it to Adapters, or correct the name")
		}
		return
	}
	if t.Version != "" && !slices.ContainsFunc(adapter.item.Versions, func(v AdapterVersion) bool { return v.Version == t.Version }) {
		c.add(p, at+".Version", fmt.Sprintf("adapter %q has no version %q", t.Adapter, t.Version), "add the version, or correct it")
	}
}

// FindKey returns the file and line in which the key with this ID is stated.
func FindKey(files []File, id string) (file string, line int, ok bool) {
	for _, f := range files {
		d := decoder{file: f.Name}
		for _, k := range d.document(f.Content).keys {
			if k.item.ID == id {
				return f.Name, k.place.line, true
			}
		}
	}
	return "", 0, false
}
