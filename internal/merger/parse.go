package merger

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"
)

// File is one file of the configuration folder.
type File struct {
	// Name is the base name, without a directory.
	Name    string
	Content []byte
}

// Limits of a configuration folder. A file is stored as a JSON string in one row of the table service, which holds
// 400 KB. 32 MB are enough for about 200,000 adapters of 150 bytes each.
const (
	MaxFileBytes  = 256 << 10
	MaxTotalBytes = 32 << 20
	// MaxFiles ensures that the manifest, which lists every file, fits into one row of the table service.
	MaxFiles = 2000
	// MaxNameLength limits the length in bytes of item names and file names.
	MaxNameLength = 100
)

// Defaults and valid ranges of item fields.
const (
	MaxRate         = 1e9
	MinWeight       = 0.001
	MaxWeight       = 1000
	DefaultDeadline = 2 * time.Minute
	MinDeadline     = 100 * time.Millisecond
	MaxDeadline     = 10 * time.Minute
	MaxPriority     = 10
)

// LoadsOrganisation is a reserved name, under which the permits for adapter loads are counted.
const LoadsOrganisation = "loads"

// Fault is a validation error in a configuration folder.
type Fault struct {
	File string
	// Line is 1-based; 0 if the fault concerns the file as a whole.
	Line int
	// Field is the path of the field, such as "Routes[2].Targets[0].Weight"; empty if the fault concerns the file as a
	// whole.
	Field   string
	Problem string
	// Remedy tells the operator what to change.
	Remedy string
}

// String returns "FILE:LINE: Field: problem; remedy".
func (f Fault) String() string {
	if f.Field == "" {
		return fmt.Sprintf("%s:%d: %s; %s", f.File, f.Line, f.Problem, f.Remedy)
	}
	return fmt.Sprintf("%s:%d: %s: %s; %s", f.File, f.Line, f.Field, f.Problem, f.Remedy)
}

// IsConfigFile reports whether a file of this name is part of the configuration: the name must end in .yaml or .yml and
// must not start with ".", which excludes the temporary files of editors.
func IsConfigFile(name string) bool {
	return !strings.HasPrefix(name, ".") && (strings.HasSuffix(name, ".yaml") || strings.HasSuffix(name, ".yml"))
}

// Parse merges the files in the order of their names and validates the result. It returns all faults; the items are
// valid only if there are none. Files that IsConfigFile excludes are ignored.
//
// A later file can redefine an organisation, adapter, route or objective of an earlier file only with Override: true,
// which replaces the whole item. Keys cannot be redefined, and two items with the same name in one file are a fault.
func Parse(files []File) (Items, []Fault) { return new(Parser).Parse(files) }

// Parser caches decoded files between calls of Parse, so that only files that changed since the previous call are
// decoded: decoding 53,000 adapters takes over a second, merging and validating them a small part of that.
// It is not safe for concurrent use.
type Parser struct {
	current, previous map[string]decodedFile
}

// decodedFile is the result of decoding one file, before merging.
type decodedFile struct {
	document   document
	faults     []Fault
	incomplete bool
}

func (p *Parser) decodeFile(f File) decodedFile {
	id := f.Name + "\x00" + string(f.Content)
	if known, ok := p.previous[id]; ok {
		p.current[id] = known
		return known
	}
	d := decoder{file: f.Name}
	doc := d.document(f.Content)
	p.current[id] = decodedFile{document: doc, faults: d.faults, incomplete: d.incomplete}
	return p.current[id]
}

// Parse is like the function Parse, but does not decode files again that the previous call decoded.
func (p *Parser) Parse(files []File) (Items, []Fault) {
	c, items := p.parse(files)
	return items, c.faults
}

func (p *Parser) parse(files []File) (*checker, Items) {
	p.previous, p.current = p.current, make(map[string]decodedFile, len(files))
	files = slices.DeleteFunc(slices.Clone(files), func(f File) bool { return !IsConfigFile(f.Name) })
	slices.SortStableFunc(files, func(a, b File) int { return cmp.Compare(a.Name, b.Name) })
	c := checker{faults: checkFiles(files), decodeFaults: map[[2]string]bool{}}
	var docs []document
	for _, f := range files {
		if len(f.Content) > MaxFileBytes {
			c.incomplete = true
			continue
		}
		d := p.decodeFile(f)
		docs = append(docs, d.document)
		c.faults = append(c.faults, d.faults...)
		c.incomplete = c.incomplete || d.incomplete
		for _, fault := range d.faults {
			c.decodeFaults[[2]string{fault.File, fault.Field}] = true
		}
	}
	items := c.merge(docs)
	if !c.incomplete {
		// References to items that could not be decoded would look dangling and hide the actual fault.
		c.checkReferences()
	}
	sortFaults(c.faults)
	return &c, items
}

func sortFaults(faults []Fault) {
	slices.SortStableFunc(faults, func(a, b Fault) int {
		return cmp.Or(cmp.Compare(a.File, b.File), cmp.Compare(a.Line, b.Line), cmp.Compare(a.Field, b.Field), cmp.Compare(a.Problem, b.Problem))
	})
}

func checkFiles(files []File) []Fault {
	var faults []Fault
	total := 0
	for i, f := range files {
		total += len(f.Content)
		fault := Fault{File: f.Name, Line: 0}
		if i > 0 && files[i-1].Name == f.Name {
			fault.Problem, fault.Remedy = "another file has the same name", "merge the two files"
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

// checker validates items and collects their faults.
type checker struct {
	faults     []Fault
	incomplete bool
	// decodeFaults holds the file and field of each fault that the decoder reported.
	decodeFaults map[[2]string]bool

	organisations map[string]parsed[Organisation]
	keys          map[string]parsed[Key]
	adapters      map[string]parsed[Adapter]
	routes        map[string]parsed[Route]
	objectives    map[string]parsed[Objective]
	evacuations   map[string]parsed[Evacuation]
}

func (c *checker) addFault(loc location, field, problem, remedy string) {
	c.faults = append(c.faults, loc.newFault(field, problem, remedy))
}

func (c *checker) merge(docs []document) Items {
	for _, doc := range docs {
		for i := range doc.organisations {
			c.checkOrganisation(&doc.organisations[i])
		}
		for i := range doc.keys {
			c.checkKey(&doc.keys[i])
		}
		for i := range doc.adapters {
			c.checkAdapter(&doc.adapters[i])
		}
		for i := range doc.routes {
			c.checkRoute(&doc.routes[i])
		}
		for i := range doc.objectives {
			c.checkObjective(&doc.objectives[i])
		}
		for i := range doc.evacuations {
			c.checkDomain(&doc.evacuations[i])
		}
	}
	c.organisations = mergeList(c, docs, func(d document) []parsed[Organisation] { return d.organisations }, func(o Organisation) string { return o.Name })
	c.keys = mergeList(c, docs, func(d document) []parsed[Key] { return d.keys }, func(k Key) string { return k.ID })
	c.adapters = mergeList(c, docs, func(d document) []parsed[Adapter] { return d.adapters }, func(a Adapter) string { return a.Name })
	c.routes = mergeList(c, docs, func(d document) []parsed[Route] { return d.routes }, func(r Route) string { return r.Name })
	c.objectives = mergeList(c, docs, func(d document) []parsed[Objective] { return d.objectives }, func(o Objective) string { return o.Name })
	c.evacuations = mergeList(c, docs, func(d document) []parsed[Evacuation] { return d.evacuations }, func(e Evacuation) string { return e.Domain })
	return Items{
		Organisations: itemsOf(c.organisations),
		Keys:          itemsOf(c.keys),
		Adapters:      itemsOf(c.adapters),
		Routes:        itemsOf(c.routes),
		Objectives:    itemsOf(c.objectives),
		Evacuations:   itemsOf(c.evacuations),
	}
}

// mergeList merges the items of one kind from all files. It reports items that break the rules described at Parse.
func mergeList[T any](c *checker, docs []document, list func(document) []parsed[T], name func(T) string) map[string]parsed[T] {
	merged := map[string]parsed[T]{}
	_, isKey := any(*new(T)).(Key)
	nameField := "Name"
	switch any(*new(T)).(type) {
	case Key:
		nameField = "Id"
	case Evacuation:
		nameField = "Domain"
	}
	for _, doc := range docs {
		for _, p := range list(doc) {
			n := name(p.item)
			if n == "" {
				continue
			}
			earlier, redefined := merged[n]
			first := fmt.Sprintf("%s:%d", earlier.location.file, earlier.location.line)
			switch {
			case redefined && earlier.location.file == p.location.file:
				c.addFault(p.location, nameField, fmt.Sprintf("%q is already stated in %s", n, first), "remove or rename one of the two")
				continue
			case redefined && isKey:
				c.addFault(p.location, nameField, fmt.Sprintf("key %q is already stated in %s", n, first), "remove one of the two; keys may not be restated")
				continue
			case redefined && !p.override:
				c.addFault(p.location, nameField, fmt.Sprintf("%q is already stated in %s", n, first), "rename it, or write Override: true to replace the earlier one")
				continue
			case !redefined && p.override && !c.incomplete:
				c.addFault(p.location, "Override", fmt.Sprintf("no earlier file states %q", n), "remove Override, or correct the name")
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

func (c *checker) checkName(loc location, field, value string) {
	switch {
	case value == "" && !loc.isSet(field):
		c.addFaultOnce(loc.newFault(field, "missing", "give a name of a-z 0-9 . _ -"))
	case value == "":
		c.addFaultOnce(loc.newFault(field, "empty", "give a value"))
	case len(value) > MaxNameLength:
		c.addFault(loc, field, fmt.Sprintf("%d characters, over the limit of %d", len(value), MaxNameLength), "shorten it")
	case strings.IndexFunc(value, func(r rune) bool { return !isNameRune(r) }) >= 0:
		c.addFault(loc, field, fmt.Sprintf("%q has characters outside a-z 0-9 . _ -", value), "rename it")
	}
}

// checkText validates a required string that is not a name.
func (c *checker) checkText(loc location, field, value, example string) {
	switch {
	case value == "" && !loc.isSet(field):
		c.addFaultOnce(loc.newFault(field, "missing", "give a value, as in "+example))
	case value == "":
		c.addFaultOnce(loc.newFault(field, "empty", "give a value"))
	case strings.IndexFunc(value, func(r rune) bool { return r <= ' ' || r == 0x7f || r == '@' }) >= 0:
		c.addFault(loc, field, fmt.Sprintf("%q has spaces, control characters or @", value), "remove them, as in "+example)
	}
}

// checkRange validates a required number. A field that the decoder rejected has the value 0 and is not reported again.
func (c *checker) checkRange(loc location, field string, value, low, high float64, unit string) {
	if !loc.isSet(field) {
		c.addFault(loc, field, "missing", fmt.Sprintf("give a number of %s, at least %g and at most %g", unit, low, high))
		return
	}
	if value < low || value > high {
		c.addFaultOnce(loc.newFault(field, fmt.Sprintf("%g is out of range", value), fmt.Sprintf("give a number of %s, at least %g and at most %g", unit, low, high)))
	}
}

// addFaultOnce adds the fault unless the decoder has already reported the field or the element that contains it.
func (c *checker) addFaultOnce(fault Fault) {
	if !c.decodeFaults[[2]string{fault.File, fault.Field}] && !c.decodeFaults[[2]string{fault.File, parentPath(fault.Field)}] {
		c.faults = append(c.faults, fault)
	}
}

func (c *checker) checkWeight(loc location, field string, value *float64) {
	if !loc.isSet(field) {
		*value = 1
		return
	}
	c.checkRange(loc, field, *value, MinWeight, MaxWeight, "shares")
}

func (c *checker) checkOrganisation(p *parsed[Organisation]) {
	c.checkName(p.location, "Name", p.item.Name)
	if p.item.Name == LoadsOrganisation {
		c.addFault(p.location, "Name", fmt.Sprintf("%q is reserved for the permits of adapter loads", p.item.Name), "rename it")
	}
	c.checkRange(p.location, "Rate", p.item.Rate, 1, MaxRate, "tokens a second")
	c.checkRange(p.location, "Burst", p.item.Burst, 1, MaxRate, "tokens")
	c.checkWeight(p.location, "Weight", &p.item.Weight)
}

func (c *checker) checkKey(p *parsed[Key]) {
	c.checkName(p.location, "Id", p.item.ID)
	c.checkName(p.location, "Organisation", p.item.Organisation)
	digest := p.item.Digest
	valid := len(digest) == 64 && strings.IndexFunc(digest, func(r rune) bool { return (r < '0' || r > '9') && (r < 'a' || r > 'f') }) < 0
	if !valid {
		// The message omits the value because it may be a secret that was entered in the wrong field.
		c.addFaultOnce(p.location.newFault("Digest", "not a SHA-256 in lower-case hexadecimal", "issue the key with \"key issue\", which writes the Digest"))
	}
}

func (c *checker) checkAdapter(p *parsed[Adapter]) {
	c.checkName(p.location, "Name", p.item.Name)
	c.checkText(p.location, "BaseModel", p.item.BaseModel, "llama-3-8b")
	if len(p.item.Versions) == 0 {
		c.addFaultOnce(p.location.newFault("Versions", "no version", "give at least one version with its Path"))
	}
	seen := map[string]bool{}
	for i, v := range p.item.Versions {
		at := fmt.Sprintf("Versions[%d]", i)
		c.checkName(p.location, at+".Version", v.Version)
		c.checkText(p.location, at+".Path", v.Path, "adapters/quotes/3")
		if strings.Contains(v.Path, "..") {
			c.addFault(p.location, at+".Path", "contains \"..\"", "write the path relative to the root of the weight store")
		}
		if v.Version != "" && seen[v.Version] {
			c.addFault(p.location, at+".Version", fmt.Sprintf("version %q is stated twice", v.Version), "remove one of the two")
		}
		seen[v.Version] = true
	}
}

func (c *checker) checkRoute(p *parsed[Route]) {
	r := &p.item
	c.checkName(p.location, "Name", r.Name)
	switch {
	case r.Open && len(r.Organisations) > 0:
		c.addFault(p.location, "Organisations", "listed although the route is open to all callers", "remove Open or Organisations")
	case !r.Open && len(r.Organisations) == 0:
		c.addFaultOnce(p.location.newFault("Organisations", "no organisation may use the route", "list at least one, or write Open: true"))
	}
	switch {
	case len(r.Targets) > 0 && r.Service != "":
		c.addFault(p.location, "Service", "stated together with Targets", "remove one of the two")
	case len(r.Targets) == 0 && r.Service == "":
		c.addFaultOnce(p.location.newFault("Targets", "neither Targets nor Service", "list the adapter versions in Targets, or name a Service"))
	}
	if r.Service != "" {
		c.checkName(p.location, "Service", r.Service)
	}
	if !p.location.isSet("Deadline") {
		r.Deadline = DefaultDeadline
	} else if r.Deadline < MinDeadline || r.Deadline > MaxDeadline {
		c.addFaultOnce(p.location.newFault("Deadline", fmt.Sprintf("%s is out of range", r.Deadline), fmt.Sprintf("give %s to %s", MinDeadline, MaxDeadline)))
	}
	if r.Priority < -MaxPriority || r.Priority > MaxPriority {
		c.addFault(p.location, "Priority", fmt.Sprintf("%d is out of range", r.Priority), fmt.Sprintf("give %d to %d", -MaxPriority, MaxPriority))
	}
	c.checkTargets(p)
	c.checkCalls(p)
}

func (c *checker) checkTargets(p *parsed[Route]) {
	seen := map[string]bool{}
	for i := range p.item.Targets {
		t := &p.item.Targets[i]
		at := fmt.Sprintf("Targets[%d]", i)
		c.checkName(p.location, at+".Adapter", t.Adapter)
		c.checkName(p.location, at+".Version", t.Version)
		c.checkWeight(p.location, at+".Weight", &t.Weight)
		target := t.Adapter + "@" + t.Version
		if seen[target] {
			c.addFault(p.location, at, fmt.Sprintf("target %s is listed twice", target), "join the two and add their weights")
		}
		seen[target] = true
	}
}

func (c *checker) checkCalls(p *parsed[Route]) {
	if len(p.item.Calls) > 0 && p.item.Service == "" {
		c.addFault(p.location, "Calls", "stated without a Service", "remove Calls; the calls of a model route are always repeatable")
	}
	for i, call := range p.item.Calls {
		at := fmt.Sprintf("Calls[%d]", i)
		if call.Method != "*" && (call.Method == "" || strings.Trim(call.Method, "ABCDEFGHIJKLMNOPQRSTUVWXYZ") != "") {
			c.addFaultOnce(p.location.newFault(at+".Method", fmt.Sprintf("%q is not a method", call.Method), "write it in capitals, as in POST, or * for all"))
		}
		if !strings.HasPrefix(call.Path, "/") || strings.Contains(strings.TrimSuffix(call.Path, "*"), "*") {
			c.addFaultOnce(p.location.newFault(at+".Path", fmt.Sprintf("%q is not a path", call.Path), "start it with /; only its last character may be *"))
		}
		if !p.location.isSet(at + ".Repeatable") {
			c.addFaultOnce(p.location.newFault(at+".Repeatable", "missing", "write true or false"))
		}
	}
}

func (c *checker) checkObjective(p *parsed[Objective]) {
	o := p.item
	c.checkName(p.location, "Name", o.Name)
	if o.Organisation != "" {
		c.checkName(p.location, "Organisation", o.Organisation)
	}
	switch o.Indicator {
	case "FirstToken", "BetweenTokens":
		if o.Threshold <= 0 || o.Threshold > MaxDeadline {
			c.addFaultOnce(p.location.newFault("Threshold", "missing or out of range", fmt.Sprintf("give a duration up to %s, as in 450ms", MaxDeadline)))
		}
	case "WrongfulRefusals", "Availability":
		if p.location.isSet("Threshold") {
			c.addFault(p.location, "Threshold", "does not apply to "+o.Indicator, "remove it")
		}
	default:
		c.addFaultOnce(p.location.newFault("Indicator", fmt.Sprintf("%q is not an indicator", o.Indicator), "use FirstToken, BetweenTokens, WrongfulRefusals or Availability"))
	}
	// A target of 1 leaves no error budget, so no burn rate can be computed.
	if o.Target <= 0 || o.Target >= 1 {
		c.addFaultOnce(p.location.newFault("Target", fmt.Sprintf("%g is out of range", o.Target), "give a share above 0 and below 1, as in 0.95"))
	}
}

// checkDomain validates an evacuation. The names of failure domains are those of the platform, so only their length is
// limited.
func (c *checker) checkDomain(p *parsed[Evacuation]) {
	if d := p.item.Domain; d == "" || len(d) > MaxNameLength {
		c.addFaultOnce(p.location.newFault("Domain", "missing or too long", fmt.Sprintf("give the name of a failure domain, with at most %d characters", MaxNameLength)))
	}
}

// checkReferences validates the references between the merged items.
func (c *checker) checkReferences() {
	byDigest := map[string]location{}
	for _, id := range slices.Sorted(maps.Keys(c.keys)) {
		p := c.keys[id]
		c.checkOrganisationExists(p.location, "Organisation", p.item.Organisation)
		if first, twice := byDigest[p.item.Digest]; twice && p.item.Digest != "" {
			c.addFault(p.location, "Digest", fmt.Sprintf("the same as that of the key in %s:%d", first.file, first.line), "issue a key of its own for each ID")
		}
		byDigest[p.item.Digest] = p.location
	}
	for _, p := range c.routes {
		for i, o := range p.item.Organisations {
			field := fmt.Sprintf("Organisations[%d]", i)
			c.checkOrganisationExists(p.location, field, o)
			if slices.Contains(p.item.Organisations[:i], o) && o != "" {
				c.addFault(p.location, field, fmt.Sprintf("%q is listed twice", o), "remove one of the two")
			}
		}
		if _, ok := c.organisations[OpenOrganisation]; p.item.Open && !ok {
			c.addFault(p.location, "Open", "requests without a key have no limit to be counted against", fmt.Sprintf("add an organisation named %q with Rate and Burst", OpenOrganisation))
		}
		for i, t := range p.item.Targets {
			c.checkTargetExists(p.location, fmt.Sprintf("Targets[%d]", i), t)
		}
	}
	for _, p := range c.objectives {
		c.checkOrganisationExists(p.location, "Organisation", p.item.Organisation)
	}
}

func (c *checker) checkOrganisationExists(loc location, field, name string) {
	if _, ok := c.organisations[name]; !ok && name != "" {
		c.addFault(loc, field, fmt.Sprintf("there is no organisation %q", name), "add it to Organisations, or correct the name")
	}
}

func (c *checker) checkTargetExists(loc location, at string, t Target) {
	adapter, ok := c.adapters[t.Adapter]
	if !ok {
		if t.Adapter != "" {
			c.addFault(loc, at+".Adapter", fmt.Sprintf("there is no adapter %q", t.Adapter), "add it to Adapters, or correct the name")
		}
		return
	}
	if t.Version != "" && !slices.ContainsFunc(adapter.item.Versions, func(v AdapterVersion) bool { return v.Version == t.Version }) {
		c.addFault(loc, at+".Version", fmt.Sprintf("adapter %q has no version %q", t.Adapter, t.Version), "add the version, or correct it")
	}
}

// FindKey returns the file and line that define the key with this ID.
func FindKey(files []File, id string) (file string, line int, ok bool) {
	for _, f := range files {
		d := decoder{file: f.Name}
		for _, k := range d.document(f.Content).keys {
			if k.item.ID == id {
				return f.Name, k.location.line, true
			}
		}
	}
	return "", 0, false
}
