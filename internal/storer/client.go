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
	"time"

	"github.com/aws/aws-sdk-go-v2/aws"
	v4 "github.com/aws/aws-sdk-go-v2/aws/signer/v4"
	"github.com/aws/aws-sdk-go-v2/credentials"
	"github.com/aws/aws-sdk-go-v2/service/dynamodb"
	"github.com/aws/aws-sdk-go-v2/service/dynamodb/types"
	"github.com/aws/aws-sdk-go-v2/service/s3"
	s3types "github.com/aws/aws-sdk-go-v2/service/s3/types"
	"github.com/cockroachdb/errors"
)

// DefaultTable is the name of the table and of the object store's bucket.
const DefaultTable = "geraniumladder"

const (
	// region is required by the SDK for its signatures; the platform URL decides where requests go.
	region = "us-east-1"
	// maxIdleConns bounds the open connections kept for the next calls.
	maxIdleConns = 32
	dialTimeout  = time.Second
	// maxReplyBytes bounds one object or list of VMs.
	maxReplyBytes = 256 << 20
)

// Names of the row's attributes and of the conditions' parameters in the table service.
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
	// URL of the platform, as in "http://10.0.0.2:8000".
	URL string
	// Timeout bounds each call; DefaultCallTimeout when 0.
	Timeout time.Duration
	// Table is DefaultTable when empty. The object store's bucket has the same name.
	Table string
	// Now dates the signatures of requests; time.Now when nil.
	Now func() time.Time
}

// Client is the Platform at a URL. It never retries: a write whose answer was lost may have taken effect, so the
// caller reads the row back before it decides.
type Client struct {
	config    ClientConfig
	transport *http.Transport
	http      *http.Client
	table     *dynamodb.Client
	objects   *s3.Client
}

var _ Platform = (*Client)(nil)

// clockSigner signs at the time of the configured clock.
type clockSigner struct {
	signer *v4.Signer
	now    func() time.Time
}

// SignHTTP implements the SDK's signer.
func (s clockSigner) SignHTTP(ctx context.Context, c aws.Credentials, r *http.Request,
	payloadHash, service, region string, _ time.Time, opts ...func(*v4.SignerOptions)) error {
	return s.signer.SignHTTP(ctx, c, r, payloadHash, service, region, s.now(), opts...)
}

// NewClient returns a Client. It opens no connection before the first call.
func NewClient(c ClientConfig) *Client {
	c.URL = strings.TrimRight(c.URL, "/")
	if c.Timeout == 0 {
		c.Timeout = DefaultCallTimeout
	}
	if c.Table == "" {
		c.Table = DefaultTable
	}
	if c.Now == nil {
		c.Now = time.Now
	}
	transport := &http.Transport{
		DialContext:         (&net.Dialer{Timeout: dialTimeout}).DialContext,
		MaxIdleConnsPerHost: maxIdleConns,
		DisableCompression:  true,
	}
	client := &http.Client{Transport: transport}
	dummy := credentials.NewStaticCredentialsProvider(DefaultTable, DefaultTable, "")
	return &Client{
		config:    c,
		transport: transport,
		http:      client,
		table: dynamodb.New(dynamodb.Options{
			BaseEndpoint: aws.String(c.URL),
			Region:       region,
			Credentials:  dummy,
			HTTPClient:   client,
			Retryer:      aws.NopRetryer{},
			HTTPSignerV4: clockSigner{signer: v4.NewSigner(), now: c.Now},
		}),
		objects: s3.New(s3.Options{
			BaseEndpoint: aws.String(c.URL + "/objects"),
			UsePathStyle: true,
			Region:       region,
			Credentials:  dummy,
			HTTPClient:   client,
			Retryer:      aws.NopRetryer{},
			HTTPSignerV4: clockSigner{now: c.Now, signer: v4.NewSigner(func(o *v4.SignerOptions) {
				// The object store signs the path as it is, other services escape it twice.
				o.DisableURIPathEscaping = true
			})},
			RequestChecksumCalculation: aws.RequestChecksumCalculationWhenRequired,
			ResponseChecksumValidation: aws.ResponseChecksumValidationWhenRequired,
		}),
	}
}

// Close closes the idle connections.
func (c *Client) Close() { c.transport.CloseIdleConnections() }

func (c *Client) bound(ctx context.Context) (context.Context, context.CancelFunc) {
	return context.WithTimeout(ctx, c.config.Timeout)
}

// fail maps an error of the SDK to an Error.
func (c *Client) fail(op string, err error) error {
	if err == nil {
		return nil
	}
	if errors.Is(err, context.DeadlineExceeded) {
		// A connection on which no answer came may be unresponsive for good, and so may its idle neighbours;
		// the next call opens a new one.
		c.transport.CloseIdleConnections()
	}
	return &Error{Kind: kindOf(err), Op: op, Cause: err}
}

func kindOf(err error) Kind {
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

func text(s string) types.AttributeValue { return &types.AttributeValueMemberS{Value: s} }

func number(n int64) types.AttributeValue {
	return &types.AttributeValueMemberN{Value: strconv.FormatInt(n, 10)}
}

func rowKey(pk, sk string) map[string]types.AttributeValue {
	return map[string]types.AttributeValue{attributePk: text(pk), attributeSk: text(sk)}
}

func encodeRow(r Row, expect int64) map[string]types.AttributeValue {
	item := rowKey(r.Pk, r.Sk)
	item[attributeData] = text(string(r.Data))
	item[attributeVersion] = number(expect + 1)
	item[attributeMark] = text(r.Mark)
	return item
}

func decodeRow(item map[string]types.AttributeValue) (Row, error) {
	str := func(name string) string {
		if s, ok := item[name].(*types.AttributeValueMemberS); ok {
			return s.Value
		}
		return ""
	}
	row := Row{Pk: str(attributePk), Sk: str(attributeSk), Data: []byte(str(attributeData)), Mark: str(attributeMark)}
	version, ok := item[attributeVersion].(*types.AttributeValueMemberN)
	if !ok {
		return Row{}, errors.Newf("row %s/%s has no Version", row.Pk, row.Sk)
	}
	var err error
	row.Version, err = strconv.ParseInt(version.Value, 10, 64)
	return row, errors.Wrapf(err, "row %s/%s", row.Pk, row.Sk)
}

// condition returns the condition expression for an expected version and its parameters.
func condition(expect int64) (*string, map[string]types.AttributeValue) {
	if expect == 0 {
		return aws.String(conditionAbsent), nil
	}
	return aws.String(conditionVersion), map[string]types.AttributeValue{":v": number(expect)}
}

// Get implements Table.
func (c *Client) Get(ctx context.Context, pk, sk string) (Row, error) {
	ctx, cancel := c.bound(ctx)
	defer cancel()
	op := "get " + pk + "/" + sk
	out, err := c.table.GetItem(ctx, &dynamodb.GetItemInput{
		TableName: &c.config.Table, Key: rowKey(pk, sk), ConsistentRead: aws.Bool(true),
	})
	if err != nil {
		return Row{}, c.fail(op, err)
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

// Query implements Table. Each page of the table service's answer is one call with its own Timeout.
func (c *Client) Query(ctx context.Context, pk, from string, limit int) ([]Row, error) {
	op := "query " + pk
	input := &dynamodb.QueryInput{
		TableName:                 &c.config.Table,
		ConsistentRead:            aws.Bool(true),
		KeyConditionExpression:    aws.String("Pk = :pk"),
		ExpressionAttributeValues: map[string]types.AttributeValue{":pk": text(pk)},
	}
	// The table service accepts no empty string as a key.
	if from != "" {
		input.KeyConditionExpression = aws.String("Pk = :pk AND Sk >= :from")
		input.ExpressionAttributeValues[":from"] = text(from)
	}
	var rows []Row
	for {
		if limit > 0 {
			input.Limit = aws.Int32(int32(min(limit-len(rows), 1<<20)))
		}
		out, err := c.queryPage(ctx, input)
		if err != nil {
			return nil, c.fail(op, err)
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
	ctx, cancel := c.bound(ctx)
	defer cancel()
	return c.table.Query(ctx, input)
}

// Put implements Table.
func (c *Client) Put(ctx context.Context, row Row, expect int64) error {
	ctx, cancel := c.bound(ctx)
	defer cancel()
	expression, values := condition(expect)
	_, err := c.table.PutItem(ctx, &dynamodb.PutItemInput{
		TableName: &c.config.Table, Item: encodeRow(row, expect),
		ConditionExpression: expression, ExpressionAttributeValues: values,
	})
	return c.fail("put "+row.Pk+"/"+row.Sk, err)
}

// Delete implements Table.
func (c *Client) Delete(ctx context.Context, pk, sk string, expect int64) error {
	ctx, cancel := c.bound(ctx)
	defer cancel()
	expression, values := condition(expect)
	_, err := c.table.DeleteItem(ctx, &dynamodb.DeleteItemInput{
		TableName: &c.config.Table, Key: rowKey(pk, sk),
		ConditionExpression: expression, ExpressionAttributeValues: values,
	})
	return c.fail("delete "+pk+"/"+sk, err)
}

// Transact implements Table.
func (c *Client) Transact(ctx context.Context, writes []Write) error {
	const op = "transact"
	if err := checkWrites(op, writes); err != nil {
		return err
	}
	ctx, cancel := c.bound(ctx)
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
	return c.fail(op, err)
}

// GetObject implements Objects.
func (c *Client) GetObject(ctx context.Context, key string) ([]byte, error) {
	ctx, cancel := c.bound(ctx)
	defer cancel()
	op := "get object " + key
	out, err := c.objects.GetObject(ctx, &s3.GetObjectInput{Bucket: &c.config.Table, Key: &key})
	if err != nil {
		return nil, c.fail(op, err)
	}
	defer func() { _ = out.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(out.Body, maxReplyBytes))
	return body, c.fail(op, err)
}

// PutObject implements Objects.
func (c *Client) PutObject(ctx context.Context, key string, body []byte) error {
	ctx, cancel := c.bound(ctx)
	defer cancel()
	_, err := c.objects.PutObject(ctx, &s3.PutObjectInput{
		Bucket: &c.config.Table, Key: &key, Body: bytes.NewReader(body),
	})
	return c.fail("put object "+key, err)
}

// DeleteObject implements Objects.
func (c *Client) DeleteObject(ctx context.Context, key string) error {
	ctx, cancel := c.bound(ctx)
	defer cancel()
	_, err := c.objects.DeleteObject(ctx, &s3.DeleteObjectInput{Bucket: &c.config.Table, Key: &key})
	return c.fail("delete object "+key, err)
}

// TargetGroup is one element of the list of VMs, in the shape of Prometheus HTTP service discovery.
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

// List implements VMs.
func (c *Client) List(ctx context.Context) ([]VM, error) {
	ctx, cancel := c.bound(ctx)
	defer cancel()
	groups, err := c.targets(ctx)
	if err != nil {
		return nil, c.fail("list VMs", err)
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

func (c *Client) targets(ctx context.Context) ([]TargetGroup, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, c.config.URL+"/vms", http.NoBody)
	if err != nil {
		return nil, err
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return nil, err
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxReplyBytes))
	if err != nil {
		return nil, err
	}
	if resp.StatusCode != http.StatusOK {
		return nil, errors.Newf("status %s", resp.Status)
	}
	var groups []TargetGroup
	return groups, json.Unmarshal(body, &groups)
}
