package replayer

import (
	"fmt"
	"maps"
	"slices"
	"strings"

	"github.com/google/uuid"

	"geraniumladder/internal/authenticator"
	"geraniumladder/internal/launcher"
)

// configFolder holds the configuration files of a replay, generated from the trace.
type configFolder struct {
	files map[string]string
	// keys maps key IDs to their secrets.
	keys   map[string]string
	routes launcher.DemoRoutes
}

func defaultKeyID(organisation string) string { return organisation + "-1" }

func keyFileName(organisation string) string { return "50-keys-" + organisation + ".yaml" }

func keyYAML(organisation, id, secret string) string {
	return fmt.Sprintf("  - {Id: %s, Organisation: %s, Digest: %s}\n", id, organisation, authenticator.Digest(secret))
}

// newConfigFolder generates the organisations, their keys, and every adapter and route that the trace uses. It adds
// unused adapters up to Fleet.Adapters to give the configuration a realistic size.
func newConfigFolder(t Trace, speed float64) configFolder {
	f := configFolder{files: map[string]string{}, keys: map[string]string{}, routes: launcher.DemoRoutes{Model: map[string]string{}, Service: map[string]string{}}}
	models, services, keyIDs := map[string]map[string]bool{}, map[string]map[string]bool{}, map[string]map[string]bool{}
	addName := func(sets map[string]map[string]bool, organisation, name string) {
		if sets[organisation] == nil {
			sets[organisation] = map[string]bool{}
		}
		sets[organisation][name] = true
	}
	for _, l := range t.Lines {
		switch {
		case l.Kind == KindCompletion:
			addName(models, l.Organisation, l.Route)
		case l.IsRequest():
			addName(services, l.Organisation, l.Route)
		}
		if l.KeyID != "" {
			addName(keyIDs, l.Organisation, l.KeyID)
		}
	}
	var organisations strings.Builder
	organisations.WriteString("Organisations:\n")
	for _, o := range t.Fleet.Organisations {
		fmt.Fprintf(&organisations, "  - {Name: %s, Rate: %g, Burst: %g, Weight: %g}\n", o.Name, o.Rate*speed, o.Burst, max(o.Weight, 0.001))
		addName(keyIDs, o.Name, defaultKeyID(o.Name))
		var keys strings.Builder
		keys.WriteString("Keys:\n")
		for _, id := range slices.Sorted(maps.Keys(keyIDs[o.Name])) {
			f.keys[id] = "gl-" + strings.ReplaceAll(uuid.NewString(), "-", "")
			keys.WriteString(keyYAML(o.Name, id, f.keys[id]))
		}
		f.files[keyFileName(o.Name)] = keys.String()
		for n := 0; len(models[o.Name]) < t.Fleet.Adapters/len(t.Fleet.Organisations); n++ {
			addName(models, o.Name, fmt.Sprintf("%s-%04d", o.Name, n))
		}
		f.addRoutes(o.Name, slices.Sorted(maps.Keys(models[o.Name])), slices.Sorted(maps.Keys(services[o.Name])))
	}
	f.files["10-organisations.yaml"] = organisations.String()
	return f
}

// maxRoutesPerFile keeps each file below merger.MaxFileBytes.
const maxRoutesPerFile = 500

func (f *configFolder) addRoutes(organisation string, models, services []string) {
	fileNumber := 0
	for names := range slices.Chunk(models, maxRoutesPerFile) {
		var adapters, routes strings.Builder
		for _, name := range names {
			fmt.Fprintf(&adapters, "  - {Name: %s, BaseModel: base, Versions: [{Version: v1, Path: %s/v1}]}\n", name, name)
			fmt.Fprintf(&routes, "  - {Name: %s, Organisations: [%s], Targets: [{Adapter: %s, Version: v1}]}\n", name, organisation, name)
		}
		f.files[fmt.Sprintf("20-%s-%02d.yaml", organisation, fileNumber)] = "Adapters:\n" + adapters.String() + "Routes:\n" + routes.String()
		f.routes.Model[organisation] = names[0]
		fileNumber++
	}
	if len(services) == 0 {
		return
	}
	var routes strings.Builder
	for _, name := range services {
		fmt.Fprintf(&routes, "  - Name: %s\n    Organisations: [%s]\n    Service: ledger\n    Deadline: 30s\n"+
			"    Calls:\n      - {Method: POST, Path: \"/bookings\", Repeatable: false}\n      - {Method: GET, Path: \"/*\", Repeatable: true}\n", name, organisation)
		f.routes.Service[organisation] = name
	}
	f.files["30-"+organisation+"-services.yaml"] = "Routes:\n" + routes.String()
}
