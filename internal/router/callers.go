package router

import (
	"bytes"
	"context"
	"hash/fnv"
	"io"
	"net/http"
	"net/url"
	"strings"
	"time"

	"github.com/google/uuid"
	"github.com/labstack/echo/v4"

	"geraniumladder/internal/authenticator"
	"geraniumladder/internal/merger"
	"geraniumladder/internal/wire"
	"geraniumladder/pkg/claimer"
)

// call is one caller's request in progress.
type call struct {
	id           string
	organisation merger.Organisation
	// keyDigest is the digest of the caller's key; empty on an open route without a key.
	keyDigest string
	route     merger.Route
	revision  merger.Revision
	arrived   time.Time
	deadline  time.Time

	// adapter, version, baseModel and weightPath are empty for a plain service.
	adapter    string
	version    string
	baseModel  string
	weightPath string

	// target is the path and query of the request to the endpoint.
	method     string
	target     string
	header     http.Header
	body       []byte
	repeatable bool
	// digest is what a call has in common with its repetitions. It is safe for concurrent use.
	digest func() string

	promptTokens int
	answerTokens int
	prefixHash   string
	prefixTokens int

	model *modelRequest

	// dispatches counts the dispatches of a call that must not be repeated.
	dispatches int
}

// modelName returns the engine's name for the adapter version.
func (c *call) modelName() string {
	if c.adapter == "" {
		return ""
	}
	return c.adapter + "@" + c.version
}

// remaining returns the time left until the deadline.
func (c *call) remaining(now time.Time) time.Duration { return c.deadline.Sub(now) }

// defaultDeadline is the deadline of a request whose route sets none.
const defaultDeadline = 2 * time.Minute

// Handler returns the handler for callers and the load balancer.
func (r *Router) Handler() http.Handler {
	e := echo.New()
	e.HideBanner, e.HidePort = true, true
	e.HTTPErrorHandler = func(err error, c echo.Context) {
		status := http.StatusInternalServerError
		if he, ok := err.(*echo.HTTPError); ok { //nolint:errorlint // echo passes its errors unwrapped.
			status = he.Code
		}
		invalid(status, "no_such_page", "there is no page %s %s; see docs/callers.md", c.Request().Method, c.Request().URL.Path).
			write(c.Response(), requestID(c.Request()))
	}
	e.Pre(withRequestID)
	e.GET("/healthz", r.handleHealth)
	e.GET("/v1/models", r.handleModels)
	e.POST("/v1/completions", r.handleModel)
	e.POST("/v1/chat/completions", r.handleModel)
	e.Any("/services/:route", r.handleService)
	e.Any("/services/:route/*", r.handleService)
	return e
}

// requestIDKey is the context key of a request's ID.
type requestIDKey struct{}

// withRequestID assigns an ID to a request. Sidecars run a request at most once per ID, so an ID sent by the caller is
// never used.
func withRequestID(next echo.HandlerFunc) echo.HandlerFunc {
	return func(c echo.Context) error {
		req := c.Request()
		c.SetRequest(req.WithContext(context.WithValue(req.Context(), requestIDKey{}, "req-"+uuid.NewString())))
		return next(c)
	}
}

// requestID returns the ID that withRequestID assigned to the request.
func requestID(req *http.Request) string {
	id, _ := req.Context().Value(requestIDKey{}).(string)
	return id
}

// handleHealth tells the load balancer whether this entry accepts new requests.
func (r *Router) handleHealth(c echo.Context) error {
	if r.State() == string(wire.EntryExchangeStateLeaving) {
		return c.String(http.StatusServiceUnavailable, "leaving\n")
	}
	if err := r.config.Follower.MayServe(r.now()); err != nil {
		return c.String(http.StatusServiceUnavailable, err.Error()+"\n")
	}
	if !r.isReady() {
		return c.String(http.StatusServiceUnavailable, "starting: no endpoint is known yet\n")
	}
	return c.String(http.StatusOK, "ok\n")
}

// authenticate returns the organisation and the digest of a request's key. Both are empty without a key; resolveRoute
// then uses the open organisation.
func (r *Router) authenticate(req *http.Request, revision merger.Revision) (organisation, digest string, failure *callError) {
	secret := authenticator.BearerToken(req.Header.Get("Authorization"))
	if secret == "" {
		if req.Header.Get("Authorization") != "" {
			return "", "", unauthorised("the Authorization header has no Bearer key; send 'Authorization: Bearer KEY'")
		}
		return "", "", nil
	}
	digest = authenticator.Digest(secret)
	key, known := revision.KeyByDigest(digest)
	if !known {
		return "", "", unauthorised("the key is unknown or was withdrawn; ask the operators for a new one")
	}
	return key.Organisation, digest, nil
}

func unauthorised(message string) *callError {
	return &callError{status: http.StatusUnauthorized, outcome: claimer.NotRun, kind: kindKey, code: "invalid_api_key", message: message}
}

// newCall performs the checks that all requests have in common.
func (r *Router) newCall(req *http.Request) (*call, *callError) {
	if r.isDraining() {
		return nil, errLeaving
	}
	if err := r.config.Follower.MayServe(r.now()); err != nil {
		return nil, unavailable("configuration_not_proven", err.Error())
	}
	revision := r.config.Follower.Current()
	organisation, keyDigest, failure := r.authenticate(req, revision)
	if failure != nil {
		return nil, failure
	}
	c := &call{id: requestID(req), keyDigest: keyDigest, revision: revision, arrived: r.now(), method: req.Method}
	c.organisation, _ = revision.Organisation(organisation)
	return c, nil
}

// resolveRoute finds the route and checks that the call may use it.
func (c *call) resolveRoute(name string) *callError {
	route, known := c.revision.Route(name)
	if !known {
		return invalid(http.StatusNotFound, "no_such_route", "there is no route %q; list the routes with GET /v1/models", name)
	}
	if c.organisation.Name == "" {
		if !route.Open {
			return unauthorised("the route needs a key; send 'Authorization: Bearer KEY'")
		}
		c.organisation, _ = c.revision.Organisation(merger.OpenOrganisation)
		if c.organisation.Name == "" {
			return unauthorised("requests without a key need an organisation named " + merger.OpenOrganisation + "; send a key")
		}
	}
	if !route.Allows(c.organisation.Name) {
		return &callError{
			status: http.StatusForbidden, outcome: claimer.NotRun, kind: kindPermission, code: "route_not_allowed",
			message: "the route " + name + " is not open to this key's organisation; use a route listed by GET /v1/models",
		}
	}
	c.route = route
	c.deadline = c.arrived.Add(defaultDeadline)
	if route.Deadline > 0 {
		c.deadline = c.arrived.Add(route.Deadline)
	}
	return nil
}

// selectVersion chooses the adapter version by a hash of the request ID, in proportion to the weights, so that a canary
// gets its share.
func (c *call) selectVersion() *callError {
	total := 0.0
	for _, t := range c.route.Targets {
		total += targetWeight(t)
	}
	h := fnv.New64a()
	_, _ = h.Write([]byte(c.id))
	point := float64(h.Sum64()>>11) / (1 << 53) * total
	for _, t := range c.route.Targets {
		point -= targetWeight(t)
		if point >= 0 {
			continue
		}
		adapter, known := c.revision.Adapter(t.Adapter)
		if !known {
			break
		}
		for _, v := range adapter.Versions {
			if v.Version == t.Version {
				c.adapter, c.version, c.baseModel, c.weightPath = t.Adapter, t.Version, adapter.BaseModel, v.Path
				return nil
			}
		}
	}
	return invalid(http.StatusNotFound, "no_target", "the route %q has no model behind it; call it under /services/", c.route.Name)
}

func targetWeight(t merger.Target) float64 {
	if t.Weight > 0 {
		return t.Weight
	}
	return 1
}

// handleModels lists the routes available to the key.
func (r *Router) handleModels(c echo.Context) error {
	cl, failure := r.newCall(c.Request())
	if failure != nil {
		failure.write(c.Response(), requestID(c.Request()))
		return nil
	}
	type model struct {
		ID      string `json:"id"`
		Object  string `json:"object"`
		Created int64  `json:"created"`
		OwnedBy string `json:"owned_by"`
	}
	list := struct {
		Object string  `json:"object"`
		Data   []model `json:"data"`
	}{Object: "list", Data: []model{}}
	for _, route := range cl.revision.RoutesOf(cl.organisation.Name) {
		if len(route.Targets) > 0 {
			list.Data = append(list.Data, model{ID: route.Name, Object: "model", OwnedBy: "geraniumladder"})
		}
	}
	return c.JSON(http.StatusOK, list)
}

// readBody reads a request body and enforces the size limit.
func (r *Router) readBody(req *http.Request) ([]byte, *callError) {
	limit := r.config.Settings.MaxBodyBytes
	body, err := io.ReadAll(io.LimitReader(req.Body, int64(limit)+1))
	if err != nil {
		return nil, invalid(http.StatusBadRequest, "broken_body", "the body broke off; send the request again")
	}
	if len(body) > limit {
		return nil, invalid(http.StatusRequestEntityTooLarge, "body_too_large", "the body is larger than %d bytes; send less", limit)
	}
	return body, nil
}

// sink forwards a response to a caller.
type sink interface {
	// hasStarted reports whether part of the response has been sent.
	hasStarted() bool
}

// serve admits and runs a call. rejection is the failure of the preceding checks, or nil. serve sends any failure to
// the caller, unless the response has started: then it returns the failure, and its caller has to signal it within the
// response.
func (r *Router) serve(req *http.Request, w http.ResponseWriter, cl *call, rejection *callError, s sink, forward func(context.Context) *callError) *callError {
	if rejection != nil {
		r.refuse(w, req, cl, rejection)
		return nil
	}
	release, failure := r.register(cl)
	if failure != nil {
		r.refuse(w, req, cl, failure)
		return nil
	}
	defer release()
	ctx, cancel := r.callContext(req.Context(), cl)
	defer cancel()
	failure = r.admit(ctx, cl, func() *callError { return forward(ctx) })
	r.finish(w, req, cl, s.hasStarted(), failure)
	if s.hasStarted() {
		return failure
	}
	return nil
}

func (r *Router) handleModel(c echo.Context) error {
	req, w := c.Request(), c.Response()
	cl, failure := r.newModelCall(req)
	sink := newModelSink(w, cl, r)
	failure = r.serve(req, w, cl, failure, sink, func(ctx context.Context) *callError { return r.forwardModel(ctx, cl, sink) })
	if failure != nil {
		sink.abort(failure)
	}
	return nil
}

// newModelCall parses and checks a request to a model route.
func (r *Router) newModelCall(req *http.Request) (*call, *callError) {
	cl, failure := r.newCall(req)
	if failure != nil {
		return nil, failure
	}
	body, failure := r.readBody(req)
	if failure != nil {
		return cl, failure
	}
	if secret := authenticator.BearerToken(req.Header.Get("Authorization")); secret != "" && bytes.Contains(body, []byte(secret)) {
		return cl, keyInRequest()
	}
	chat := strings.HasPrefix(req.URL.Path, "/v1/chat/")
	cl.model, failure = parseModelRequest(body, chat, r.config.Settings.MaxAnswer)
	if failure != nil {
		return cl, failure
	}
	if failure := cl.resolveRoute(cl.model.route); failure != nil {
		return cl, failure
	}
	if failure := cl.selectVersion(); failure != nil {
		return cl, failure
	}
	cl.target, cl.header, cl.repeatable = req.URL.Path, http.Header{"Content-Type": {"application/json"}}, true
	cl.promptTokens, cl.answerTokens = cl.model.promptTokens, cl.model.maxTokens
	cl.prefixHash, cl.prefixTokens = cl.model.promptPrefix()
	cl.setDigest(body)
	return cl, nil
}

func (r *Router) handleService(c echo.Context) error {
	req, w := c.Request(), c.Response()
	cl, failure := r.newServiceCall(req, c.Param("route"))
	sink := &serviceSink{w: w}
	failure = r.serve(req, w, cl, failure, sink, func(ctx context.Context) *callError { return r.forwardService(ctx, req, cl, sink) })
	if failure != nil {
		// The response has started, so the only way to signal that it is incomplete is to abort the connection.
		panic(http.ErrAbortHandler)
	}
	return nil
}

// newServiceCall checks a request to a plain service.
func (r *Router) newServiceCall(req *http.Request, route string) (*call, *callError) {
	cl, failure := r.newCall(req)
	if failure != nil {
		return nil, failure
	}
	if failure := cl.resolveRoute(route); failure != nil {
		return cl, failure
	}
	if cl.route.Service == "" {
		return cl, invalid(http.StatusNotFound, "no_such_service", "the route %q is a model; call it under /v1/", route)
	}
	if cl.body, failure = r.readBody(req); failure != nil {
		return cl, failure
	}
	escapedPath := strings.TrimPrefix(req.URL.EscapedPath(), "/services/"+url.PathEscape(route))
	if escapedPath == "" {
		escapedPath = "/"
	}
	cl.target = escapedPath
	if req.URL.RawQuery != "" {
		cl.target += "?" + req.URL.RawQuery
	}
	unescapedPath, err := url.PathUnescape(escapedPath)
	if err != nil {
		return cl, invalid(http.StatusBadRequest, "bad_path", "the path is malformed; correct its %%-escapes")
	}
	cl.repeatable = cl.route.Repeatable(req.Method, unescapedPath)
	if cl.header, failure = forwardedHeaders(req, cl); failure != nil {
		return cl, failure
	}
	cl.promptTokens, cl.answerTokens = estimateTokens(len(cl.body)), 0
	cl.setDigest(cl.body)
	return cl, nil
}

// hopByHopHeaders apply to a single connection and are not forwarded.
var hopByHopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Content-Length", "Host",
}

// credentialHeaders may contain a caller's key and are not forwarded.
var credentialHeaders = []string{"Authorization", "Cookie", "X-Api-Key", "Api-Key", "X-Auth-Token", "Openai-Api-Key"}

// forwardedHeaders returns the headers to forward to the service, without those that contain a key. A request with a
// key in its path, query or body is rejected.
func forwardedHeaders(req *http.Request, cl *call) (http.Header, *callError) {
	header := req.Header.Clone()
	for _, name := range strings.Split(req.Header.Get("Connection"), ",") {
		header.Del(strings.TrimSpace(name))
	}
	for _, list := range [][]string{hopByHopHeaders, credentialHeaders} {
		for _, name := range list {
			header.Del(name)
		}
	}
	for name := range header {
		if strings.HasPrefix(name, "Geraniumladder-") {
			header.Del(name)
		}
	}
	secret := authenticator.BearerToken(req.Header.Get("Authorization"))
	for name, values := range header {
		for _, value := range values {
			if cl.containsKey(value, secret) {
				header.Del(name)
				break
			}
		}
	}
	target, _ := url.QueryUnescape(cl.target)
	if cl.containsKey(target, secret) || cl.containsKey(cl.target, secret) || cl.containsKey(string(cl.body), secret) {
		return nil, keyInRequest()
	}
	return header, nil
}

func keyInRequest() *callError {
	return invalid(http.StatusBadRequest, "key_in_request", "the path, query or body holds a key; send it in the Authorization header only")
}

// containsKey reports whether text contains the call's own key, or any known key as a separate token.
func (c *call) containsKey(text, secret string) bool {
	if secret != "" && strings.Contains(text, secret) {
		return true
	}
	for _, token := range strings.FieldsFunc(text, func(r rune) bool { return strings.ContainsRune(" ?&=/,;\"'{}[]:", r) }) {
		if !strings.HasPrefix(token, apiKeyPrefix) {
			continue
		}
		if _, known := c.revision.KeyByDigest(authenticator.Digest(token)); known {
			return true
		}
	}
	return false
}

// apiKeyPrefix is the prefix of all keys that 'geraniumladder key issue' creates.
const apiKeyPrefix = "gl-"

// callContext returns a context that ends when the caller disconnects, at the deadline or when the key is withdrawn. A
// call that must not be repeated continues if its caller disconnects.
func (r *Router) callContext(ctx context.Context, cl *call) (context.Context, context.CancelFunc) {
	if !cl.repeatable {
		ctx = context.WithoutCancel(ctx)
	}
	ctx, cancelDeadline := context.WithDeadline(ctx, cl.deadline)
	ctx, cancel := context.WithCancelCause(ctx)
	r.mu.Lock()
	if active, known := r.calls[cl.id]; known {
		active.cancel = cancel
	}
	r.mu.Unlock()
	// applyRevision cannot cancel a call that was not yet registered when it applied the revision that withdrew the
	// key.
	if r.isKeyWithdrawn(cl) {
		cancel(errKeyWithdrawn)
	}
	return ctx, func() {
		cancel(nil)
		cancelDeadline()
	}
}

// isKeyWithdrawn reports whether the call's key has been withdrawn since it was checked.
func (r *Router) isKeyWithdrawn(cl *call) bool {
	if cl.keyDigest == "" {
		return false
	}
	_, known := r.config.Follower.Current().KeyByDigest(cl.keyDigest)
	return !known
}

// maxPrefixBytes is the number of bytes at the start of a prompt that identify a shared prefix.
const maxPrefixBytes = 1024

// requestEnded is the message of the line that logRequestEnd logs, which 'trace record' reads.
const requestEnded = "entry: request ended"
