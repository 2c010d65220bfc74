package storer

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/aws/aws-sdk-go-v2/aws"
	v4 "github.com/aws/aws-sdk-go-v2/aws/signer/v4"
	"github.com/aws/aws-sdk-go-v2/credentials"
	"github.com/aws/aws-sdk-go-v2/service/dynamodb"
	"github.com/aws/aws-sdk-go-v2/service/dynamodb/types"
	"github.com/aws/aws-sdk-go-v2/service/s3"
	s3types "github.com/aws/aws-sdk-go-v2/service/s3/types"
	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"

	"geraniumladder/internal/receiver"
)

// DefaultTableName is the default name of the table and of the object store's bucket.
const DefaultTableName = "geraniumladder"

const (
	// region is required by the SDK for request signatures; requests go to the platform URL regardless of it.
	region = "us-east-1"
	// maxIdleConns limits the number of idle connections that are kept open.
	maxIdleConns = 32
	dialTimeout  = time.Second
	// maxResponseBytes limits the size of one object or list of VMs.
	maxResponseBytes = 256 << 20
)

// Attribute names of a row in the table service, and condition expressions.
const (
	attributePk      = "Pk"
	attributeSk      = "Sk"
	attributeData    = "Data"
	attributeVersion = "Version"
	attributeMark    = "Mark"

	conditionAbsent  = "attribute_not_exists(Pk)"
	conditionVersion = "Version = :v"
)

// ClientConfig configures a Client.
type ClientConfig struct {
	// URL of the platform, such as "http://10.0.0.2:8000".
	URL string
	// Timeout is the timeout of each call, and of each step of the transfer of an object; DefaultCallTimeout if 0.
	Timeout time.Duration
	// Table is the name of the table and of the object store's bucket; DefaultTableName if empty.
	Table string
	// Now returns the time at which requests are signed; time.Now if nil.
	Now func() time.Time
	// Log receives a line when the list of VMs has an entry that can't be decoded. By default nothing is logged.
	Log zerolog.Logger
}

// Client is a Platform that is accessed over HTTP. It never retries: a write whose response was lost may have taken
// effect, so the caller has to read the row back first.
type Client struct {
	config    ClientConfig
	transport *http.Transport
	http      *http.Client
	table     *dynamodb.Client
	objects   *s3.Client
	// loggedVMs holds the errors of the entries of the list of VMs that could not be decoded in the last call.
	loggedVMs atomic.Pointer[string]
}

var _ Platform = (*Client)(nil)

// clockSigner signs requests with the time of ClientConfig.Now instead of the SDK's clock.
type clockSigner struct {
	signer *v4.Signer
	now    func() time.Time
}

// SignHTTP implements the HTTPSignerV4 interface of the SDK.
func (s clockSigner) SignHTTP(ctx context.Context, c aws.Credentials, r *http.Request,
	payloadHash, service, region string, _ time.Time, opts ...func(*v4.SignerOptions)) error {
	return s.signer.SignHTTP(ctx, c, r, payloadHash, service, region, s.now(), opts...)
}

// bufferedBodyTransport replaces each request body by a copy in memory. The SDK closes the body as soon as the response
// arrives, which on a fast network can be before the transport has read the body to its end. The transport then closes
// the connection, so the next call has to open a new one.
type bufferedBodyTransport struct{ next http.RoundTripper }

// RoundTrip implements http.RoundTripper.
func (t bufferedBodyTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	if r.Body == nil || r.Body == http.NoBody {
		return t.next.RoundTrip(r)
	}
	body, err := io.ReadAll(r.Body)
	if err = errors.CombineErrors(err, r.Body.Close()); err != nil {
		return nil, err
	}
	r = r.Clone(r.Context())
	r.GetBody = func() (io.ReadCloser, error) { return io.NopCloser(bytes.NewReader(body)), nil }
	r.Body, _ = r.GetBody()
	return t.next.RoundTrip(r)
}

// NewClient returns a Client. It opens no connection until the first call.
func NewClient(c ClientConfig) *Client {
	c.URL = strings.TrimRight(c.URL, "/")
	if c.Timeout == 0 {
		c.Timeout = DefaultCallTimeout
	}
	if c.Table == "" {
		c.Table = DefaultTableName
	}
	if c.Now == nil {
		c.Now = time.Now
	}
	transport := &http.Transport{
		DialContext:         (&net.Dialer{Timeout: dialTimeout}).DialContext,
		MaxIdleConnsPerHost: maxIdleConns,
		DisableCompression:  true,
	}
	client := &http.Client{Transport: bufferedBodyTransport{transport}}
	placeholder := credentials.NewStaticCredentialsProvider(DefaultTableName, DefaultTableName, "")
	return &Client{
		config:    c,
		transport: transport,
		http:      client,
		table: dynamodb.New(dynamodb.Options{
			BaseEndpoint: aws.String(c.URL),
			Region:       region,
			Credentials:  placeholder,
			HTTPClient:   client,
			Retryer:      aws.NopRetryer{},
			HTTPSignerV4: clockSigner{signer: v4.NewSigner(), now: c.Now},
		}),
		objects: s3.New(s3.Options{
			BaseEndpoint: aws.String(c.URL + "/objects"),
			UsePathStyle: true,
			Region:       region,
			Credentials:  placeholder,
			HTTPClient:   client,
			Retryer:      aws.NopRetryer{},
			HTTPSignerV4: clockSigner{now: c.Now, signer: v4.NewSigner(func(o *v4.SignerOptions) {
				// S3 signatures use the path as it is; those of other services escape it a second time.
				o.DisableURIPathEscaping = true
			})},
			RequestChecksumCalculation: aws.RequestChecksumCalculationWhenRequired,
			ResponseChecksumValidation: aws.ResponseChecksumValidationWhenRequired,
		}),
	}
}

// Close closes the idle connections.
func (c *Client) Close() { c.transport.CloseIdleConnections() }

func (c *Client) withTimeout(ctx context.Context) (context.Context, context.CancelFunc) {
	return context.WithTimeout(ctx, c.config.Timeout)
}

// wrapError converts an error of the SDK to an Error.
func (c *Client) wrapError(op string, err error) error {
	if err == nil {
		return nil
	}
	if errors.Is(err, context.DeadlineExceeded) {
		// A connection on which a call timed out may be broken, and so may the idle ones. Close these, so that the
		// next call opens a new connection.
		c.transport.CloseIdleConnections()
	}
	return &Error{Kind: errorKind(err), Op: op, Cause: err}
}

func errorKind(err error) Kind {
	if canceled := new(types.TransactionCanceledException); errors.As(err, &canceled) {
		for _, reason := range canceled.CancellationReasons {
			if aws.ToString(reason.Code) == "ValidationError" {
				return Invalid
			}
		}
		return Conflict
	}
	if absent := new(s3types.NoSuchKey); errors.As(err, &absent) {
		return NotFound
	}
	var coded interface{ ErrorCode() string }
	if !errors.As(err, &coded) {
		return Unavailable
	}
	switch coded.ErrorCode() {
	case "ConditionalCheckFailedException", "TransactionConflictException":
		return Conflict
	case "ValidationException", "ResourceNotFoundException", "EntityTooLarge", "NoSuchBucket":
		return Invalid
	case "NotFound", "NoSuchKey":
		return NotFound
	default:
		return Unavailable
	}
}

func stringValue(s string) types.AttributeValue { return &types.AttributeValueMemberS{Value: s} }

func numberValue(n int64) types.AttributeValue {
	return &types.AttributeValueMemberN{Value: strconv.FormatInt(n, 10)}
}

func rowKey(pk, sk string) map[string]types.AttributeValue {
	return map[string]types.AttributeValue{attributePk: stringValue(pk), attributeSk: stringValue(sk)}
}

func encodeRow(r Row, expect int64) map[string]types.AttributeValue {
	item := rowKey(r.Pk, r.Sk)
	item[attributeData] = stringValue(string(r.Data))
	item[attributeVersion] = numberValue(expect + 1)
	item[attributeMark] = stringValue(r.Mark)
	return item
}

func decodeRow(item map[string]types.AttributeValue) (Row, error) {
	stringAttribute := func(name string) string {
		if s, ok := item[name].(*types.AttributeValueMemberS); ok {
			return s.Value
		}
		return ""
	}
	row := Row{Pk: stringAttribute(attributePk), Sk: stringAttribute(attributeSk), Data: []byte(stringAttribute(attributeData)), Mark: stringAttribute(attributeMark)}
	version, ok := item[attributeVersion].(*types.AttributeValueMemberN)
	if !ok {
		return Row{}, errors.Newf("row %s/%s has no Version", row.Pk, row.Sk)
	}
	var err error
	row.Version, err = strconv.ParseInt(version.Value, 10, 64)
	return row, errors.Wrapf(err, "row %s/%s", row.Pk, row.Sk)
}

// condition returns the condition expression for an expected version and its attribute values.
func condition(expect int64) (*string, map[string]types.AttributeValue) {
	if expect == 0 {
		return aws.String(conditionAbsent), nil
	}
	return aws.String(conditionVersion), map[string]types.AttributeValue{":v": numberValue(expect)}
}

// Get implements Table.
func (c *Client) Get(ctx context.Context, pk, sk string) (Row, error) {
	ctx, cancel := c.withTimeout(ctx)
	defer cancel()
	op := "get " + pk + "/" + sk
	out, err := c.table.GetItem(ctx, &dynamodb.GetItemInput{
		TableName: &c.config.Table, Key: rowKey(pk, sk), ConsistentRead: aws.Bool(true),
	})
	if err != nil {
		return Row{}, c.wrapError(op, err)
	}
	if len(out.Item) == 0 {
		return Row{}, &Error{Kind: NotFound, Op: op}
	}
	row, err := decodeRow(out.Item)
	if err != nil {
		return Row{}, &Error{Kind: Invalid, Op: op, Cause: err}
	}
	return row, nil
}

// Query implements Table. It reads each result page by a separate call with its own timeout.
func (c *Client) Query(ctx context.Context, pk, from string, limit int) ([]Row, error) {
	op := "query " + pk
	input := &dynamodb.QueryInput{
		TableName:                 &c.config.Table,
		ConsistentRead:            aws.Bool(true),
		KeyConditionExpression:    aws.String("Pk = :pk"),
		ExpressionAttributeValues: map[string]types.AttributeValue{":pk": stringValue(pk)},
	}
	// The table service rejects empty strings as keys.
	if from != "" {
		input.KeyConditionExpression = aws.String("Pk = :pk AND Sk >= :from")
		input.ExpressionAttributeValues[":from"] = stringValue(from)
	}
	var rows []Row
	for {
		if limit > 0 {
			input.Limit = aws.Int32(int32(min(limit-len(rows), 1<<20)))
		}
		out, err := c.queryPage(ctx, input)
		if err != nil {
			return nil, c.wrapError(op, err)
		}
		for _, item := range out.Items {
			row, err := decodeRow(item)
			if err != nil {
				return nil, &Error{Kind: Invalid, Op: op, Cause: err}
			}
			rows = append(rows, row)
		}
		if len(out.LastEvaluatedKey) == 0 || (limit > 0 && len(rows) >= limit) {
			return rows, nil
		}
		input.ExclusiveStartKey = out.LastEvaluatedKey
	}
}

func (c *Client) queryPage(ctx context.Context, input *dynamodb.QueryInput) (*dynamodb.QueryOutput, error) {
	ctx, cancel := c.withTimeout(ctx)
	defer cancel()
	return c.table.Query(ctx, input)
}

// Put implements Table.
func (c *Client) Put(ctx context.Context, row Row, expect int64) error {
	ctx, cancel := c.withTimeout(ctx)
	defer cancel()
	expression, values := condition(expect)
	_, err := c.table.PutItem(ctx, &dynamodb.PutItemInput{
		TableName: &c.config.Table, Item: encodeRow(row, expect),
		ConditionExpression: expression, ExpressionAttributeValues: values,
	})
	return c.wrapError("put "+row.Pk+"/"+row.Sk, err)
}

// Delete implements Table.
func (c *Client) Delete(ctx context.Context, pk, sk string, expect int64) error {
	ctx, cancel := c.withTimeout(ctx)
	defer cancel()
	expression, values := condition(expect)
	_, err := c.table.DeleteItem(ctx, &dynamodb.DeleteItemInput{
		TableName: &c.config.Table, Key: rowKey(pk, sk),
		ConditionExpression: expression, ExpressionAttributeValues: values,
	})
	return c.wrapError("delete "+pk+"/"+sk, err)
}

// Transact implements Table.
func (c *Client) Transact(ctx context.Context, writes []Write) error {
	const op = "transact"
	if err := checkWrites(op, writes); err != nil {
		return err
	}
	ctx, cancel := c.withTimeout(ctx)
	defer cancel()
	items := make([]types.TransactWriteItem, 0, len(writes))
	for _, w := range writes {
		expression, values := condition(w.Expect)
		if w.Delete {
			items = append(items, types.TransactWriteItem{Delete: &types.Delete{
				TableName: &c.config.Table, Key: rowKey(w.Row.Pk, w.Row.Sk),
				ConditionExpression: expression, ExpressionAttributeValues: values,
			}})
			continue
		}
		items = append(items, types.TransactWriteItem{Put: &types.Put{
			TableName: &c.config.Table, Item: encodeRow(w.Row, w.Expect),
			ConditionExpression: expression, ExpressionAttributeValues: values,
		}})
	}
	_, err := c.table.TransactWriteItems(ctx, &dynamodb.TransactWriteItemsInput{TransactItems: items})
	return c.wrapError(op, err)
}

// GetObject implements Objects.
func (c *Client) GetObject(ctx context.Context, key string) ([]byte, error) {
	receiving := receiver.New(ctx, receiver.Config{First: c.config.Timeout, Step: c.config.Timeout})
	defer receiving.Close()
	op := "get object " + key
	out, err := c.objects.GetObject(receiving.Context(), &s3.GetObjectInput{Bucket: &c.config.Table, Key: &key})
	if err != nil {
		return nil, c.wrapError(op, receiving.Err(err))
	}
	defer func() { _ = out.Body.Close() }()
	body, err := receiving.ReadAll(out.Body, maxResponseBytes)
	return body, c.wrapError(op, err)
}

// PutObject implements Objects.
func (c *Client) PutObject(ctx context.Context, key string, body []byte) error {
	ctx, cancel := c.withTimeout(ctx)
	defer cancel()
	_, err := c.objects.PutObject(ctx, &s3.PutObjectInput{
		Bucket: &c.config.Table, Key: &key, Body: bytes.NewReader(body),
	})
	return c.wrapError("put object "+key, err)
}

// DeleteObject implements Objects.
func (c *Client) DeleteObject(ctx context.Context, key string) error {
	ctx, cancel := c.withTimeout(ctx)
	defer cancel()
	_, err := c.objects.DeleteObject(ctx, &s3.DeleteObjectInput{Bucket: &c.config.Table, Key: &key})
	return c.wrapError("delete object "+key, err)
}

// TargetGroup is one element of the list of VMs, in the format of Prometheus HTTP service discovery.
type TargetGroup struct {
	Targets []string     `json:"targets"`
	Labels  TargetLabels `json:"labels"`
}

// TargetLabels are the labels of a TargetGroup.
type TargetLabels struct {
	VM            string `json:"Vm"`
	FailureDomain string
	// State is StateLive or StateLeaving.
	State string
	Role  string
}

// The states of a VM in the platform's list.
const (
	StateLive    = "live"
	StateLeaving = "leaving"
)

// ListVMs implements VMs.
func (c *Client) ListVMs(ctx context.Context) ([]VM, error) {
	ctx, cancel := c.withTimeout(ctx)
	defer cancel()
	groups, err := c.fetchTargetGroups(ctx)
	if err != nil {
		return nil, c.wrapError("list VMs", err)
	}
	var vms []VM
	for _, g := range groups {
		for _, address := range g.Targets {
			vms = append(vms, VM{Name: g.Labels.VM, Address: address, FailureDomain: g.Labels.FailureDomain,
				Role: g.Labels.Role, Leaving: g.Labels.State == StateLeaving})
		}
	}
	return vms, nil
}

func (c *Client) fetchTargetGroups(ctx context.Context) ([]TargetGroup, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, c.config.URL+"/vms", http.NoBody)
	if err != nil {
		return nil, err
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return nil, err
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes))
	if err != nil {
		return nil, err
	}
	if resp.StatusCode != http.StatusOK {
		return nil, errors.Newf("unexpected status %s", resp.Status)
	}
	// Entries are decoded one by one, so that an odd one doesn't hide the others.
	var entries []json.RawMessage
	if err := json.Unmarshal(body, &entries); err != nil {
		return nil, err
	}
	groups := make([]TargetGroup, 0, len(entries))
	var invalid []string
	for _, entry := range entries {
		var g TargetGroup
		if err := json.Unmarshal(entry, &g); err != nil {
			invalid = append(invalid, err.Error())
			continue
		}
		groups = append(groups, g)
	}
	c.logInvalidVMs(strings.Join(invalid, "; "))
	return groups, nil
}

// logInvalidVMs logs the errors of the entries that are ignored, if they have changed since the last call.
func (c *Client) logInvalidVMs(invalid string) {
	if last := c.loggedVMs.Swap(&invalid); invalid != "" && (last == nil || *last != invalid) {
		c.config.Log.Warn().Str("Errors", invalid).Msg("storer: invalid entries in the list of VMs ignored")
	}
}
