// Package configurer reads and validates the YAML settings file of a process. It has no state.
package configurer

import (
	"bytes"
	"fmt"
	"os"
	"reflect"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/goccy/go-yaml"
	"github.com/goccy/go-yaml/ast"
	"github.com/goccy/go-yaml/parser"
)

// Common holds the settings that all processes share.
type Common struct {
	VM            string `yaml:"Vm" doc:"Name of this VM, unique in the fleet." required:"true"`
	FailureDomain string `yaml:"FailureDomain" doc:"Failure domain of this VM." required:"true"`
	Platform      string `yaml:"Platform" doc:"URL of the platform's services." required:"true"`
	Secret        string `yaml:"Secret" doc:"Shared secret of all processes, at least 16 bytes. The environment variable GERANIUMLADDER_SECRET goes before it."`
	PeerListen    string `yaml:"PeerListen" doc:"Address for the other processes, HOST:PORT." default:"127.0.0.1:0"`
	Advertise     string `yaml:"Advertise" doc:"Address that other processes use, HOST:PORT; PeerListen when empty." default:""`
	LogLevel      string `yaml:"LogLevel" doc:"Least level that is logged." default:"info" oneof:"debug info warn error"`
}

// Entry holds the settings of an entry.
type Entry struct {
	Common        `yaml:",inline"`
	Listen        string        `yaml:"Listen" doc:"Address for callers, HOST:PORT." default:"127.0.0.1:8080"`
	HeadPoll      time.Duration `yaml:"HeadPoll" doc:"Time between two reads of the configuration's head." default:"500ms" min:"50ms" max:"2s"`
	AdmissionWait time.Duration `yaml:"AdmissionWait" doc:"Longest wait for tokens before a request is refused." default:"200ms" min:"0s" max:"2s"`
	MaxBodyBytes  int           `yaml:"MaxBodyBytes" doc:"Largest body of a request, in bytes." default:"4194304" min:"1024" max:"67108864"`
	MaxAnswer     int           `yaml:"MaxAnswer" doc:"Largest answer in tokens when the caller does not give max_tokens." default:"256" min:"1" max:"65536"`
	LoadRate      float64       `yaml:"LoadRate" doc:"Adapter loads a second that the weight store allows the whole fleet." default:"3" min:"0.1" max:"10000"`
	LoadsInFlight int           `yaml:"LoadsInFlight" doc:"Adapter loads in flight in the whole fleet." default:"8" min:"1" max:"10000"`
	DrainDelay    time.Duration `yaml:"DrainDelay" doc:"Time between failing /healthz and closing the listener at a planned stop, for the balancer to notice." default:"3s" min:"0s" max:"5m"`
	StopTimeout   time.Duration `yaml:"StopTimeout" doc:"Longest planned stop; must exceed the longest deadline of a route for no request to be cut." default:"11m" min:"1s" max:"1h"`
	Heartbeat     time.Duration `yaml:"Heartbeat" doc:"Heartbeat of the sidecars, from which the entry derives when one is suspect." default:"5s" min:"100ms" max:"30s"`
}

// Endpoint holds the settings of the endpoint beside a sidecar.
type Endpoint struct {
	URL             string  `yaml:"Url" doc:"URL of the endpoint." required:"true"`
	Kind            string  `yaml:"Kind" doc:"Model engine or plain service." default:"model" oneof:"model service"`
	BaseModel       string  `yaml:"BaseModel" doc:"Base model of the engine; required for Kind model." default:""`
	Service         string  `yaml:"Service" doc:"Name of the plain service; required for Kind service." default:""`
	Slots           int     `yaml:"Slots" doc:"Adapters that the engine holds at once." default:"8" min:"1" max:"4096"`
	MaxRunning      int     `yaml:"MaxRunning" doc:"Requests that run at the endpoint at once." default:"16" min:"1" max:"4096"`
	TokensPerSecond float64 `yaml:"TokensPerSecond" doc:"Tokens a second that the engine generates with a full batch." default:"1000" min:"1" max:"1e9"`
	ChecksFence     bool    `yaml:"ChecksFence" doc:"Whether the engine refuses orders with an old fencing number."`
}

// Sidecar holds the settings of a sidecar.
type Sidecar struct {
	Common      `yaml:",inline"`
	Endpoint    Endpoint      `yaml:"Endpoint"`
	Heartbeat   time.Duration `yaml:"Heartbeat" doc:"Time between heartbeats to each entry." default:"5s" min:"100ms" max:"30s"`
	LeaseTTL    time.Duration `yaml:"LeaseTtl" doc:"Time to live of the lease of the endpoint." default:"30s" min:"3s" max:"5m"`
	Remember    time.Duration `yaml:"Remember" doc:"How long request IDs and finished answers are kept." default:"20m" min:"1m" max:"24h"`
	StopTimeout time.Duration `yaml:"StopTimeout" doc:"Longest planned stop." default:"11m" min:"1s" max:"1h"`
}

// secretVariable is the environment variable that supplies Secret when the file does not set it.
const secretVariable = "GERANIUMLADDER_SECRET"

// FieldError describes one invalid setting of a settings file.
type FieldError struct {
	File    string
	Line    int
	Field   string
	Problem string
	Remedy  string
}

// Error implements error.
func (e FieldError) Error() string {
	return fmt.Sprintf("%s:%d: %s: %s; %s", e.File, e.Line, e.Field, e.Problem, e.Remedy)
}

// Load reads a settings file into a T, which is Entry or Sidecar, applies defaults and validates the values.
func Load[T any](file string) (T, error) {
	var zero T
	content, err := os.ReadFile(file)
	if err != nil {
		return zero, errors.Wrap(err, "read the settings file; name a readable file with --settings")
	}
	return Parse[T](file, content)
}

// Parse is like Load but takes the content of the file.
func Parse[T any](file string, content []byte) (T, error) {
	settings := Defaults[T]()
	tree, err := parser.ParseBytes(content, 0)
	if err == nil {
		err = validateDurations(file, tree, reflect.ValueOf(&settings).Elem())
	}
	if err == nil && len(bytes.TrimSpace(content)) > 0 {
		err = yaml.NewDecoder(bytes.NewReader(content), yaml.Strict()).Decode(&settings)
	}
	if err != nil {
		if fieldError := (FieldError{}); errors.As(err, &fieldError) {
			return settings, fieldError
		}
		return settings, FieldError{
			File: file, Line: lineOfError(err), Field: "file",
			Problem: firstLine(yaml.FormatError(err, false, false)),
			Remedy:  "compare it with the output of 'geraniumladder settings'",
		}
	}
	var fieldErrors []error
	validate(reflect.ValueOf(&settings).Elem(), "", func(path, problem, remedy string) {
		fieldErrors = append(fieldErrors, FieldError{File: file, Line: lineOfPath(tree, path), Field: path, Problem: problem, Remedy: remedy})
	})
	return settings, errors.Join(fieldErrors...)
}

// Defaults returns a T with each field set to its default.
func Defaults[T any]() T {
	var settings T
	eachField(reflect.ValueOf(&settings).Elem(), "", func(_ string, field reflect.StructField, value reflect.Value) {
		if text, ok := field.Tag.Lookup("default"); ok {
			// The defaults are constants of this package, and tests parse each of them.
			if err := setValue(value, text); err != nil {
				panic(err)
			}
		}
		if field.Name == "Secret" {
			value.SetString(os.Getenv(secretVariable))
		}
	})
	return settings
}

// Describe returns all settings with their defaults as YAML with comments.
func Describe[T any]() string {
	settings := Defaults[T]()
	var out strings.Builder
	eachField(reflect.ValueOf(&settings).Elem(), "", func(path string, field reflect.StructField, value reflect.Value) {
		parent, name, nested := strings.Cut(path, ".")
		indent := ""
		if nested {
			indent = "  "
			if heading := parent + ":\n"; !strings.Contains(out.String(), heading) {
				out.WriteString(heading)
			}
		} else {
			name = parent
		}
		fmt.Fprintf(&out, "%s# %s%s\n", indent, field.Tag.Get("doc"), constraintText(field))
		text := fmt.Sprint(value.Interface())
		if value.Kind() == reflect.String {
			text = strconv.Quote(text)
		}
		if field.Name == "Secret" {
			text = `""`
		}
		fmt.Fprintf(&out, "%s%s: %s\n", indent, name, text)
	})
	return out.String()
}

func constraintText(field reflect.StructField) string {
	switch {
	case field.Tag.Get("required") != "":
		return " Required."
	case field.Tag.Get("min") != "":
		return fmt.Sprintf(" From %s to %s.", field.Tag.Get("min"), field.Tag.Get("max"))
	case field.Tag.Get("oneof") != "":
		return " One of: " + strings.ReplaceAll(field.Tag.Get("oneof"), " ", ", ") + "."
	}
	return ""
}

// eachField calls visit for each setting with its path, as in "Endpoint.Slots".
func eachField(v reflect.Value, prefix string, visit func(path string, field reflect.StructField, value reflect.Value)) {
	for i := range v.NumField() {
		field, value := v.Type().Field(i), v.Field(i)
		name := strings.Split(field.Tag.Get("yaml"), ",")[0]
		switch {
		case field.Anonymous:
			eachField(value, prefix, visit)
		case value.Kind() == reflect.Struct:
			eachField(value, prefix+name+".", visit)
		default:
			visit(prefix+name, field, value)
		}
	}
}

func validate(v reflect.Value, prefix string, report func(path, problem, remedy string)) {
	eachField(v, prefix, func(path string, field reflect.StructField, value reflect.Value) {
		tag := field.Tag
		if tag.Get("required") != "" && value.IsZero() {
			report(path, "is not set", "add "+path+": "+tag.Get("doc"))
			return
		}
		if choices := tag.Get("oneof"); choices != "" && !slices.Contains(strings.Fields(choices), value.String()) {
			report(path, fmt.Sprintf("is %q", value.String()), "give one of: "+choices)
		}
		if tag.Get("min") != "" && !withinRange(value, tag.Get("min"), tag.Get("max")) {
			report(path, fmt.Sprintf("is %v", value.Interface()), fmt.Sprintf("give a value from %s to %s", tag.Get("min"), tag.Get("max")))
		}
	})
}

func withinRange(value reflect.Value, low, high string) bool {
	bound := func(text string) float64 {
		limit := reflect.New(value.Type()).Elem()
		if err := setValue(limit, text); err != nil {
			panic(err)
		}
		return toFloat(limit)
	}
	n := toFloat(value)
	return n >= bound(low) && n <= bound(high)
}

func toFloat(v reflect.Value) float64 {
	if v.Kind() == reflect.Float64 {
		return v.Float()
	}
	return float64(v.Int())
}

func setValue(value reflect.Value, text string) error {
	switch {
	case value.Type() == reflect.TypeFor[time.Duration]():
		d, err := time.ParseDuration(text)
		value.SetInt(int64(d))
		return err
	case value.Kind() == reflect.String:
		value.SetString(text)
		return nil
	case value.Kind() == reflect.Float64:
		f, err := strconv.ParseFloat(text, 64)
		value.SetFloat(f)
		return err
	default:
		n, err := strconv.ParseInt(text, 10, 64)
		value.SetInt(n)
		return err
	}
}

// validateDurations returns an error for a duration that does not parse. The YAML decoder reports these without a line
// number.
func validateDurations(file string, tree *ast.File, settings reflect.Value) error {
	var found error
	eachField(settings, "", func(path string, _ reflect.StructField, value reflect.Value) {
		if value.Type() != reflect.TypeFor[time.Duration]() {
			return
		}
		node := nodeAt(tree, path)
		if node == nil {
			return
		}
		text := strings.Trim(node.String(), `"'`)
		if _, err := time.ParseDuration(text); err != nil {
			found = FieldError{
				File: file, Line: node.GetToken().Position.Line, Field: path,
				Problem: fmt.Sprintf("is %q", text), Remedy: `give a duration such as "500ms", "3s" or "10m"`,
			}
		}
	})
	return found
}

func nodeAt(tree *ast.File, path string) ast.Node {
	p, err := yaml.PathString("$." + path)
	if err != nil {
		return nil
	}
	node, err := p.FilterFile(tree)
	if err != nil || node == nil {
		return nil
	}
	return node
}

func lineOfPath(tree *ast.File, path string) int {
	for ; path != ""; path = path[:max(0, strings.LastIndexByte(path, '.'))] {
		if node := nodeAt(tree, path); node != nil {
			return node.GetToken().Position.Line
		}
	}
	return 1
}

func lineOfError(err error) int {
	var withToken yaml.Error
	if errors.As(err, &withToken) && withToken.GetToken() != nil {
		return withToken.GetToken().Position.Line
	}
	return 1
}

func firstLine(text string) string {
	line, _, _ := strings.Cut(text, "\n")
	return line
}
