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

// folder is the operators' folder of a replay, generated from the trace.
type folder struct {
	files map[string]string
	// keys are the secrets by the ID of the key.
	keys   map[string]string
	routes launcher.DemoRoutes
}

func firstKey(organisation string) string { return organisation + "-1" }

func keyFile(organisation string) string { return "50-keys-" + organisation + ".yaml" }

func keyLine(organisation, id, secret string) string {
	return fmt.Sprintf("  - {Id: %s, Organisation: %s, Digest: %s}\n", id, organisation, authenticator.Digest(secret))
}

// newFolder generates organisations, keys, and all adapters and routes that the trace names. Adapters that it does not
// name fill the number up to the fleet's, so that the configuration has its real size.
func newFolder(t Trace, speed float64) folder {
	f := folder{files: map[string]string{}, keys: map[string]string{}, routes: launcher.DemoRoutes{Model: map[string]string{}, Service: map[string]string{}}}
	models, services, keyIDs := map[string]map[string]bool{}, map[string]map[string]bool{}, map[string]map[string]bool{}
	note := func(all map[string]map[string]bool, organisation, name string) {
		if all[organisation] == nil {
			all[organisation] = map[string]bool{}
		}
		all[organisation][name] = true
	}
	for _, l := range t.Lines {
		switch {
		case l.Kind == KindCompletion:
			note(models, l.Organisation, l.Route)
		case l.IsRequest():
			note(services, l.Organisation, l.Route)
		}
		if l.KeyID != "" {
			note(keyIDs, l.Organisation, l.KeyID)
		}
	}
	var head strings.Builder
	head.WriteString("Organisations:\n")
	for _, o := range t.Fleet.Organisations {
		fmt.Fprintf(&head, "  - {Name: %s, Rate: %g, Burst: %g, Weight: %g}\n", o.Name, o.Rate*speed, o.Burst, max(o.Weight, 0.001))
		note(keyIDs, o.Name, firstKey(o.Name))
		var keys strings.Builder
		keys.WriteString("Keys:\n")
		for _, id := range slices.Sorted(maps.Keys(keyIDs[o.Name])) {
			f.keys[id] = "gl-" + strings.ReplaceAll(uuid.NewString(), "-", "")
			keys.WriteString(keyLine(o.Name, id, f.keys[id]))
		}
		f.files[keyFile(o.Name)] = keys.String()
		for n := 0; len(models[o.Name]) < t.Fleet.Adapters/len(t.Fleet.Organisations); n++ {
			note(models, o.Name, fmt.Sprintf("%s-%04d", o.Name, n))
		}
		f.addRoutes(o.Name, slices.Sorted(maps.Keys(models[o.Name])), slices.Sorted(maps.Keys(services[o.Name])))
	}
	f.files["10-organisations.yaml"] = head.String()
	return f
}

// routesInFile keeps the files below the largest size that is accepted.
const routesInFile = 500

func (f *folder) addRoutes(organisation string, models, services []string) {
	part := 0
	for names := range slices.Chunk(models, routesInFile) {
		var adapters, routes strings.Builder
		for _, name := range names {
			fmt.Fprintf(&adapters, "  - {Name: %s, BaseModel: base, Versions: [{Version: v1, Path: %s/v1}]}\n", name, name)
			fmt.Fprintf(&routes, "  - {Name: %s, Organisations: [%s], Targets: [{Adapter: %s, Version: v1}]}\n", name, organisation, name)
		}
		f.files[fmt.Sprintf("20-%s-%02d.yaml", organisation, part)] = "Adapters:\n" + adapters.String() + "Routes:\n" + routes.String()
		f.routes.Model[organisation] = names[0]
		part++
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
