package launcher

import (
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"strings"

	"github.com/cockroachdb/errors"
	"github.com/google/uuid"

	"geraniumladder/internal/authenticator"
)

// sampleKeysFile stores the sample's caller keys in plain text, so that a later demo on the same folder can announce
// them. File names that start with a dot are not part of the configuration.
const sampleKeysFile = ".demo-keys.json"

var sampleOrganisations = []string{"accra", "vunidawa"}

const sampleOrganisationLimits = `# Organisations with their limits in tokens a second and tokens.
Organisations:
  - {Name: vunidawa, Rate: 20000, Burst: 60000, Weight: 1}
  - {Name: accra, Rate: 20000, Burst: 60000, Weight: 1}
`

const sampleObjectives = `# Service-level objectives, read by 'geraniumladder report burn'.
Objectives:
  - {Name: first-token, Indicator: FirstToken, Threshold: 450ms, Target: 0.95}
  - {Name: between-tokens, Indicator: BetweenTokens, Threshold: 71ms, Target: 0.95}
  - {Name: wrongful-refusals, Indicator: WrongfulRefusals, Target: 0.999}
  - {Name: availability, Indicator: Availability, Target: 0.999}
`

const sampleOrganisationConfig = `# Adapters and routes of %[1]s.
Adapters:
  - Name: %[1]s-drafts
    BaseModel: base
    Versions:
      - {Version: v1, Path: %[1]s/drafts/v1}
      - {Version: v2, Path: %[1]s/drafts/v2}
  - Name: %[1]s-answers
    BaseModel: base
    Versions:
      - {Version: v1, Path: %[1]s/answers/v1}
Routes:
  - Name: %[1]s-drafts
    Organisations: [%[1]s]
    Targets: [{Adapter: %[1]s-drafts, Version: v1}]
  - Name: %[1]s-answers
    Organisations: [%[1]s]
    Targets: [{Adapter: %[1]s-answers, Version: v1}]
  - Name: %[1]s-ledger
    Organisations: [%[1]s]
    Service: ledger
    Deadline: 30s
    Calls:
      - {Method: POST, Path: "/bookings", Repeatable: false}
      - {Method: GET, Path: "/*", Repeatable: true}
`

const sampleKeyConfig = `Keys:
  - {Id: %[1]s-1, Organisation: %[1]s, Digest: %[2]s}
`

func sampleRoutes() DemoRoutes {
	routes := DemoRoutes{Model: map[string]string{}, Service: map[string]string{}}
	for _, name := range sampleOrganisations {
		routes.Model[name], routes.Service[name] = name+"-drafts", name+"-ledger"
	}
	return routes
}

// writeSample writes the sample to the folder if it is empty, and returns the caller keys by organisation.
func writeSample(folder string) (map[string]string, error) {
	if err := os.MkdirAll(folder, 0o750); err != nil {
		return nil, errors.Wrap(err, "create the folder; specify another folder with --folder")
	}
	files, err := os.ReadDir(folder)
	if err != nil {
		return nil, errors.Wrap(err, "read the folder; specify another folder with --folder")
	}
	keys := map[string]string{}
	if len(files) > 0 {
		text, err := os.ReadFile(filepath.Join(folder, sampleKeysFile))
		if errors.Is(err, os.ErrNotExist) {
			return keys, nil
		}
		if err == nil {
			err = json.Unmarshal(text, &keys)
		}
		return keys, errors.Wrapf(err, "read %s; remove it to continue without the sample keys", sampleKeysFile)
	}
	content := map[string]string{"10-organisations.yaml": sampleOrganisationLimits, "90-objectives.yaml": sampleObjectives}
	for _, name := range sampleOrganisations {
		keys[name] = "gl-" + strings.ReplaceAll(uuid.NewString(), "-", "")
		content["20-"+name+".yaml"] = fmt.Sprintf(sampleOrganisationConfig, name)
		content["50-keys-"+name+".yaml"] = fmt.Sprintf(sampleKeyConfig, name, authenticator.Digest(keys[name]))
	}
	text, err := json.Marshal(keys)
	if err != nil {
		return nil, errors.Wrap(err, "encode the sample keys")
	}
	content[sampleKeysFile] = string(text)
	return keys, writeFiles(folder, content)
}

func writeFiles(folder string, content map[string]string) error {
	for name, body := range content {
		if err := os.WriteFile(filepath.Join(folder, name), []byte(body), 0o600); err != nil {
			return errors.Wrap(err, "write files to the folder; specify another folder with --folder")
		}
	}
	return nil
}
