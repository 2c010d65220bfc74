package emulator

import (
	"context"
	"encoding/json"
	"net/http"
	"regexp"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/labstack/echo/v4"

	"geraniumladder/internal/storer"
)

// Limits that the platform specifies for its table service.
const (
	// DefaultTableWrites is a typical limit on rows written per second.
	DefaultTableWrites = 500
	// DefaultTableReads is a typical limit on reads per second.
	DefaultTableReads = 2_000
	// maxQueryBytes is the size at which a page of a query result ends. The response of a truncated query contains
	// LastEvaluatedKey.
	maxQueryBytes = 1 << 20
)

// TableConfig configures a Table.
type TableConfig struct {
	// Name is the name of the table; storer.DefaultTableName if empty. Requests for other tables are rejected.
	Name string
	// WriteRate is the maximum number of rows written per second; 0 means no limit.
	WriteRate float64
	// ReadRate is the maximum number of reads per second; 0 means no limit.
	ReadRate float64
	// Seed of the random numbers for faults with a rate.
	Seed uint64
}

// Table emulates the table service. It implements the subset of the DynamoDB JSON protocol that the system uses. Rows
// persist across crashes.
type Table struct {
	*faultInjector

	config TableConfig
	store  *storer.MemoryPlatform

	bucketsMu sync.Mutex
	writes    tokenBucket
	reads     tokenBucket
}

// NewTable returns an empty Table.
func NewTable(c TableConfig) *Table {
	if c.Name == "" {
		c.Name = storer.DefaultTableName
	}
	t := &Table{
		config: c, store: storer.NewMemoryPlatform(),
		writes: tokenBucket{ratePerSecond: c.WriteRate}, reads: tokenBucket{ratePerSecond: c.ReadRate},
	}
	t.faultInjector = newFaultInjector(c.Seed, func(r *http.Request) bool { return writeOperations[operation(r)] }, nil)
	return t
}

// CopyRows returns a function that restores the table from a copy of its present rows.
func (t *Table) CopyRows() (restore func()) { return t.store.CopyRows() }

// Handler serves the table at /, its faults and the request log.
func (t *Table) Handler() http.Handler {
	e := newEcho()
	t.register(e)
	t.registerFaultRoutes(e, faultsPath)
	t.registerRequestLog(e)
	return e
}

func (t *Table) register(e *echo.Echo) { e.POST("/", t.handle, t.withFaults) }

const targetPrefix = "DynamoDB_20120810."

func operation(r *http.Request) string {
	return strings.TrimPrefix(r.Header.Get("X-Amz-Target"), targetPrefix)
}

var writeOperations = map[string]bool{"PutItem": true, "DeleteItem": true, "TransactWriteItems": true}

// attributeValue is an AttributeValue of the DynamoDB JSON protocol, either a string or a number.
type attributeValue struct {
	S *string `json:",omitempty"`
	N *string `json:",omitempty"`
}

type item map[string]attributeValue

// tableWrite holds the parameters of a put or delete, both as an operation of its own and within a transaction.
type tableWrite struct {
	TableName                 string
	Item                      item
	Key                       item
	ConditionExpression       string
	ExpressionAttributeValues item
	ExpressionAttributeNames  map[string]string
}

type tableRequest struct {
	tableWrite

	ConsistentRead         bool
	KeyConditionExpression string
	Limit                  int
	ExclusiveStartKey      item
	TransactItems          []struct {
		Put    *tableWrite
		Delete *tableWrite
	}
}

// tableError is an error response of the table service.
type tableError struct {
	Type    string `json:"__type"`
	Message string `json:"message"`

	CancellationReasons []cancellationReason `json:",omitempty"`
}

type cancellationReason struct {
	Code    string
	Message string `json:",omitempty"`
}

// Error implements error.
func (e *tableError) Error() string { return e.Type + ": " + e.Message }

const errorPrefix = "com.amazonaws.dynamodb.v20120810#"

func validationError(format string, args ...any) error {
	return &tableError{
		Type:    "com.amazon.coral.validate#ValidationException",
		Message: errors.Newf(format, args...).Error(),
	}
}

func (t *Table) handle(e echo.Context) error {
	response, err := t.response(e)
	status := http.StatusOK
	if err != nil {
		tableErr := new(tableError)
		if !errors.As(err, &tableErr) {
			tableErr = &tableError{Type: errorPrefix + "InternalServerError", Message: err.Error()}
		}
		response, status = tableErr, http.StatusBadRequest
	}
	body, err := json.Marshal(response)
	if err != nil {
		return err
	}
	return e.Blob(status, "application/x-amz-json-1.0", body)
}

func (t *Table) response(e echo.Context) (any, error) {
	var in tableRequest
	if err := json.NewDecoder(e.Request().Body).Decode(&in); err != nil {
		return nil, validationError("the body is no JSON object: %v", err)
	}
	ctx := e.Request().Context()
	switch op := operation(e.Request()); op {
	case "GetItem":
		return t.get(ctx, in)
	case "Query":
		return t.query(ctx, in)
	case "PutItem":
		return t.write(ctx, []*tableWrite{&in.tableWrite}, nil, false)
	case "DeleteItem":
		return t.write(ctx, nil, []*tableWrite{&in.tableWrite}, false)
	case "TransactWriteItems":
		return t.transact(ctx, in)
	default:
		return nil, &tableError{Type: errorPrefix + "UnknownOperationException", Message: "operation " + op + " is not emulated"}
	}
}

// checkRate takes n reads or written rows from the rate limit, and returns an error if it is exceeded.
func (t *Table) checkRate(b *tokenBucket, n int) error {
	t.bucketsMu.Lock()
	defer t.bucketsMu.Unlock()
	if b.take(float64(n), time.Now()) {
		return nil
	}
	return &tableError{
		Type:    errorPrefix + "ProvisionedThroughputExceededException",
		Message: "The level of configured provisioned throughput for the table was exceeded.",
	}
}

func (t *Table) checkTable(name string) error {
	if name == t.config.Name {
		return nil
	}
	return &tableError{Type: errorPrefix + "ResourceNotFoundException", Message: "Requested resource not found: Table: " + name + " not found"}
}

func decodeKey(key item) (pk, sk string, err error) {
	p, s := key["Pk"].S, key["Sk"].S
	if len(key) != 2 || p == nil || s == nil {
		return "", "", validationError("The provided key element does not match the schema")
	}
	return *p, *s, nil
}

func (t *Table) get(ctx context.Context, in tableRequest) (any, error) {
	if err := t.checkTable(in.TableName); err != nil {
		return nil, err
	}
	if err := t.checkRate(&t.reads, 1); err != nil {
		return nil, err
	}
	pk, sk, err := decodeKey(in.Key)
	if err != nil {
		return nil, err
	}
	row, err := t.store.Get(ctx, pk, sk)
	if storer.IsKind(err, storer.NotFound) {
		return struct{}{}, nil
	}
	if err != nil {
		return nil, err
	}
	return struct{ Item item }{encodeItem(row)}, nil
}

var keyCondition = regexp.MustCompile(`^Pk = (:\w+)(?: AND Sk >= (:\w+))?$`)

func (t *Table) query(ctx context.Context, in tableRequest) (any, error) {
	if err := t.checkTable(in.TableName); err != nil {
		return nil, err
	}
	if err := t.checkRate(&t.reads, 1); err != nil {
		return nil, err
	}
	match := keyCondition.FindStringSubmatch(strings.Join(strings.Fields(in.KeyConditionExpression), " "))
	if match == nil {
		return nil, validationError("KeyConditionExpression %q is not emulated; give \"Pk = :pk AND Sk >= :from\"", in.KeyConditionExpression)
	}
	pk := in.ExpressionAttributeValues[match[1]].S
	if pk == nil {
		return nil, validationError("the value %s is not a string", match[1])
	}
	from := ""
	if match[2] != "" {
		start := in.ExpressionAttributeValues[match[2]].S
		if start == nil || *start == "" {
			return nil, validationError("the value %s is not a string of at least one character", match[2])
		}
		from = *start
	}
	if in.ExclusiveStartKey != nil {
		_, last, err := decodeKey(in.ExclusiveStartKey)
		if err != nil {
			return nil, err
		}
		// The smallest string greater than last in byte order.
		from = last + "\x00"
	}
	rows, err := t.store.Query(ctx, *pk, from, in.Limit)
	if err != nil {
		return nil, err
	}
	return queryPage(rows, in.Limit), nil
}

type queryResponse struct {
	Items            []item
	Count            int
	ScannedCount     int
	LastEvaluatedKey item `json:",omitempty"`
}

// queryPage returns the first page of rows, which ends at maxQueryBytes or at limit rows.
func queryPage(rows []storer.Row, limit int) queryResponse {
	page := queryResponse{Items: []item{}}
	size := 0
	for i, row := range rows {
		size += len(row.Pk) + len(row.Sk) + len(row.Data) + len(row.Mark)
		page.Items = append(page.Items, encodeItem(row))
		full := size >= maxQueryBytes && i+1 < len(rows)
		if full || (limit > 0 && i+1 == limit) {
			page.LastEvaluatedKey = item{"Pk": {S: &row.Pk}, "Sk": {S: &row.Sk}}
			break
		}
	}
	page.Count = len(page.Items)
	page.ScannedCount = page.Count
	return page
}

func (t *Table) transact(ctx context.Context, in tableRequest) (any, error) {
	var puts, deletes []*tableWrite
	for _, i := range in.TransactItems {
		switch {
		case i.Put != nil && i.Delete == nil:
			puts = append(puts, i.Put)
		case i.Delete != nil && i.Put == nil:
			deletes = append(deletes, i.Delete)
		default:
			return nil, validationError("a transaction item must be one Put or one Delete")
		}
	}
	return t.write(ctx, puts, deletes, true)
}

func (t *Table) write(ctx context.Context, puts, deletes []*tableWrite, transaction bool) (any, error) {
	writes := make([]storer.Write, 0, len(puts)+len(deletes))
	for i, w := range append(append([]*tableWrite{}, puts...), deletes...) {
		if err := t.checkTable(w.TableName); err != nil {
			return nil, err
		}
		decoded, err := decodeWrite(w, i >= len(puts))
		if err != nil {
			return nil, err
		}
		writes = append(writes, decoded)
	}
	if err := t.checkRate(&t.writes, len(writes)); err != nil {
		return nil, err
	}
	err := t.store.Transact(ctx, writes)
	switch {
	case err == nil:
		return struct{}{}, nil
	case storer.IsKind(err, storer.Invalid):
		return nil, validationError("%v", err)
	case !storer.IsKind(err, storer.Conflict):
		return nil, err
	case !transaction:
		return nil, &tableError{Type: errorPrefix + "ConditionalCheckFailedException", Message: "The conditional request failed"}
	}
	reasons := make([]cancellationReason, len(writes))
	for i := range reasons {
		reasons[i].Code = "None"
	}
	if failed := new(storer.VersionError); errors.As(err, &failed) {
		reasons[failed.Index] = cancellationReason{Code: "ConditionalCheckFailed", Message: "The conditional request failed"}
	}
	return nil, &tableError{
		Type:    errorPrefix + "TransactionCanceledException",
		Message: "Transaction cancelled, please refer cancellation reasons for specific reasons [" + joinReasons(reasons) + "]", CancellationReasons: reasons,
	}
}

func joinReasons(reasons []cancellationReason) string {
	codes := make([]string, len(reasons))
	for i, r := range reasons {
		codes[i] = r.Code
	}
	return strings.Join(codes, ", ")
}

var versionCondition = regexp.MustCompile(`^Version = (:\w+)$`)

// decodeWrite decodes a write. Only the two forms of ConditionExpression that the system uses are supported.
func decodeWrite(w *tableWrite, isDelete bool) (storer.Write, error) {
	out := storer.Write{Delete: isDelete}
	condition := strings.Join(strings.Fields(w.ConditionExpression), " ")
	if match := versionCondition.FindStringSubmatch(condition); match != nil {
		var err error
		if out.Expect, err = parseNumber(w.ExpressionAttributeValues[match[1]]); err != nil || out.Expect < 1 {
			return out, validationError("the value %s is not a version of at least 1", match[1])
		}
	} else if condition != "attribute_not_exists(Pk)" {
		return out, validationError("ConditionExpression %q is not emulated; give \"attribute_not_exists(Pk)\" or \"Version = :v\"", w.ConditionExpression)
	}
	if isDelete {
		var err error
		out.Row.Pk, out.Row.Sk, err = decodeKey(w.Key)
		return out, err
	}
	row, err := decodeItem(w.Item)
	if err != nil {
		return out, err
	}
	if row.Version != out.Expect+1 {
		return out, validationError("the row has Version %d; the condition asks for %d", row.Version, out.Expect+1)
	}
	out.Row = row
	return out, nil
}

func parseNumber(a attributeValue) (int64, error) {
	if a.N == nil {
		return 0, errors.New("not a number")
	}
	return strconv.ParseInt(*a.N, 10, 64)
}

func encodeItem(r storer.Row) item {
	data, version := string(r.Data), strconv.FormatInt(r.Version, 10)
	return item{"Pk": {S: &r.Pk}, "Sk": {S: &r.Sk}, "Data": {S: &data}, "Version": {N: &version}, "Mark": {S: &r.Mark}}
}

func decodeItem(in item) (storer.Row, error) {
	pk, sk, data, mark := in["Pk"].S, in["Sk"].S, in["Data"].S, in["Mark"].S
	version, err := parseNumber(in["Version"])
	if len(in) != 5 || pk == nil || sk == nil || data == nil || mark == nil || err != nil {
		return storer.Row{}, validationError("an item needs exactly the strings Pk, Sk, Data and Mark and the number Version")
	}
	return storer.Row{Pk: *pk, Sk: *sk, Data: []byte(*data), Version: version, Mark: *mark}, nil
}
