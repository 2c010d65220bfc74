package emulator_test

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"geraniumladder/internal/emulator"
)

// statusAborted is the status that serve reports for a connection closed without a response.
const statusAborted = -1

// request is a request that is passed to a handler directly, without a network.
type request struct {
	method, path, body string
	// connection identifies the connection; requests with the same value share one.
	connection string
	header     map[string]string
	ctx        context.Context
}

// serve runs a handler as net/http does and returns the response.
func serve(h http.Handler, q request) (recorder *httptest.ResponseRecorder) {
	recorder = httptest.NewRecorder()
	serveTo(recorder, h, q)
	return recorder
}

func serveTo(recorder *httptest.ResponseRecorder, h http.Handler, q request) {
	if q.ctx == nil {
		q.ctx = context.Background()
	}
	r := httptest.NewRequestWithContext(q.ctx, q.method, q.path, strings.NewReader(q.body))
	r.RemoteAddr = "c" + q.connection
	for name, value := range q.header {
		r.Header.Set(name, value)
	}
	defer func() {
		if panicValue := recover(); panicValue != nil {
			if err, ok := panicValue.(error); !ok || !errors.Is(err, http.ErrAbortHandler) {
				panic(panicValue)
			}
			recorder.Code = statusAborted
		}
	}()
	h.ServeHTTP(recorder, r)
}

func get(h http.Handler, path string) *httptest.ResponseRecorder {
	return serve(h, request{method: http.MethodGet, path: path})
}

func post(h http.Handler, path, body string) *httptest.ResponseRecorder {
	return serve(h, request{method: http.MethodPost, path: path, body: body})
}

// startRequest serves a request in the background. The returned channel receives the status of the response.
func startRequest(h http.Handler, q request) <-chan int {
	done := make(chan int, 1)
	go func() { done <- serve(h, q).Code }()
	return done
}

// isPending reports whether a request is still unanswered once all goroutines of the synctest bubble are blocked.
func isPending(done <-chan int) bool {
	synctest.Wait()
	return len(done) == 0
}

// Guards against faults that are applied at the wrong point: a request that fails must not have been processed, one
// whose response is lost must have been.
func TestFailNextAndLoseAnswerNext(t *testing.T) {
	ledger := emulator.NewLedger(emulator.LedgerConfig{})
	h := ledger.Handler()
	assert.Equal(t, post(h, "/faults", `{"FailNext":1,"LoseAnswerNext":1}`).Code, http.StatusOK)
	assert.Equal(t, get(h, "/health").Code, http.StatusOK, "a probe must not consume a fault")
	assert.Equal(t, post(h, "/bookings", `{"A":1}`).Code, http.StatusServiceUnavailable)
	assert.Equal(t, ledger.Book().Total(), 0)
	assert.Equal(t, get(h, "/balances/a").Code, http.StatusOK, "a read must not consume LoseAnswerNext")
	assert.Equal(t, post(h, "/bookings", `{"A":2}`).Code, statusAborted)
	assert.Equal(t, ledger.Book().Total(), 1)
	assert.Equal(t, post(h, "/bookings", `{"A":3}`).Code, http.StatusCreated)
	ledger.SetFaults(emulator.Faults{Down: true})
	assert.Equal(t, post(h, "/bookings", `{"A":4}`).Code, statusAborted)
	assert.Equal(t, ledger.Book().Total(), 2)
	assert.Equal(t, serve(h, request{method: http.MethodDelete, path: "/faults"}).Code, http.StatusNoContent)
	ledger.SetFaults(emulator.Faults{FailRate: 1})
	assert.Equal(t, post(h, "/bookings", `{"A":5}`).Code, http.StatusServiceUnavailable)
	var refused []bool
	for _, s := range ledger.SeenRequests() {
		refused = append(refused, s.Refused)
	}
	assert.DeepEqual(t, refused, []bool{true, false, false, false, true, true})
}

// Guards against POST /faults resetting faults that the body does not contain, or accepting unknown names.
func TestFaultsPageMergesFaults(t *testing.T) {
	h := emulator.NewTable(emulator.TableConfig{}).Handler()
	assert.Equal(t, post(h, "/faults", `{"Latency":"50ms","FailNext":3}`).Code, http.StatusOK)
	assert.Equal(t, post(h, "/faults", `{"Lag":"5s"}`).Code, http.StatusOK)
	assert.Equal(t, post(h, "/faults", `{"Latencie":"5s"}`).Code, http.StatusBadRequest)
	var faults emulator.Faults
	assert.NilError(t, json.Unmarshal(get(h, "/faults").Body.Bytes(), &faults))
	want := emulator.Faults{Latency: emulator.Duration(50 * time.Millisecond), FailNext: 3, Lag: emulator.Duration(5 * time.Second)}
	assert.Equal(t, faults, want)
}

// Guards against services of a platform sharing one set of faults, and against /faults not applying to all of them.
func TestPlatformFaultsPerService(t *testing.T) {
	platform := emulator.NewPlatform(emulator.PlatformConfig{})
	h := platform.Handler()
	assert.Equal(t, post(h, "/faults/vms", `{"Down":true}`).Code, http.StatusOK)
	assert.Equal(t, get(h, "/vms").Code, statusAborted)
	assert.Equal(t, get(h, "/objects/b/k").Code, http.StatusNotFound)
	assert.Equal(t, post(h, "/faults", `{"Down":true}`).Code, http.StatusNoContent)
	assert.Equal(t, get(h, "/objects/b/k").Code, statusAborted)
	assert.Equal(t, serve(h, request{method: http.MethodDelete, path: "/faults"}).Code, http.StatusNoContent)
	assert.Equal(t, get(h, "/vms").Code, http.StatusOK)
}

// Guards against an unresponsive connection recovering, and against Silent affecting new connections.
func TestSilent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ledger := emulator.NewLedger(emulator.LedgerConfig{WorkTime: time.Second})
		h := ledger.Handler()
		ctx, cancel := context.WithCancel(t.Context())
		balance := func(connection string) request {
			return request{method: http.MethodGet, path: "/balances/a", connection: connection, ctx: ctx}
		}
		assert.Equal(t, serve(h, balance("old")).Code, http.StatusOK)
		running := startRequest(h, request{method: http.MethodPost, path: "/bookings", body: "{}", connection: "running", ctx: ctx})
		synctest.Wait()
		ledger.SetFaults(emulator.Faults{Silent: true})
		ledger.SetFaults(emulator.Faults{})
		old := startRequest(h, balance("old"))
		time.Sleep(time.Hour)
		assert.Assert(t, isPending(old) && isPending(running))
		assert.Equal(t, ledger.Book().Total(), 1, "a request in progress on an unresponsive connection must still be processed")
		assert.Equal(t, serve(h, balance("new")).Code, http.StatusOK)
		ledger.SetFaults(emulator.Faults{SilentAll: true})
		recent := startRequest(h, balance("new"))
		assert.Assert(t, isPending(recent))
		cancel()
		assert.Equal(t, <-old, statusAborted)
		assert.Equal(t, <-recent, statusAborted)
		<-running
	})
}

// Guards against Silent misidentifying connections of net/http, which the remote address alone does not identify.
func TestSilentOverTCP(t *testing.T) {
	ledger := emulator.NewLedger(emulator.LedgerConfig{})
	server := httptest.NewServer(ledger.Handler())
	defer server.Close()
	read := func(ctx context.Context, client *http.Client) error {
		r, err := http.NewRequestWithContext(ctx, http.MethodGet, server.URL+"/balances/a", http.NoBody)
		assert.NilError(t, err)
		response, err := client.Do(r)
		if err != nil {
			return err
		}
		_, err = io.Copy(io.Discard, response.Body)
		return errors.Join(err, response.Body.Close())
	}
	old, recent := &http.Client{Transport: &http.Transport{}}, &http.Client{Transport: &http.Transport{}}
	assert.NilError(t, read(t.Context(), old))
	ledger.SetFaults(emulator.Faults{Silent: true})
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan error, 1)
	go func() { done <- read(ctx, old) }()
	// The request on the old connection has arrived. If that connection still worked, it would be answered before the
	// request on the new connection is complete.
	for len(ledger.SeenRequests()) < 2 {
		time.Sleep(time.Millisecond)
	}
	assert.NilError(t, read(t.Context(), recent))
	cancel()
	assert.ErrorIs(t, <-done, context.Canceled)
	recent.CloseIdleConnections()
}

// Guards against Latency being applied after the request is processed.
func TestLatency(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ledger := emulator.NewLedger(emulator.LedgerConfig{})
		ledger.SetFaults(emulator.Faults{Latency: emulator.Duration(time.Minute)})
		done := startRequest(ledger.Handler(), request{method: http.MethodPost, path: "/bookings", body: "{}"})
		time.Sleep(59 * time.Second)
		assert.Assert(t, isPending(done))
		assert.Equal(t, ledger.Book().Total(), 0)
		assert.Equal(t, <-done, http.StatusCreated)
	})
}

// Guards against wrong counts of bookings: replicas share one BookingLog, a booking is completed although its client
// disconnects, and a crash loses only bookings in progress.
func TestLedger(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		book := emulator.NewBookingLog()
		a := emulator.NewLedger(emulator.LedgerConfig{Book: book, WorkTime: time.Second})
		b := emulator.NewLedger(emulator.LedgerConfig{Book: book})
		assert.Equal(t, post(a.Handler(), "/bookings", `{"A":1}`).Body.String(), "{\"Booking\":1,\"Body\":{\"A\":1}}\n")
		assert.Equal(t, post(b.Handler(), "/bookings", `{"A":1}`).Code, http.StatusCreated)
		assert.Equal(t, post(b.Handler(), "/bookings", `no JSON`).Code, http.StatusBadRequest)
		ctx, cancel := context.WithTimeout(t.Context(), time.Millisecond)
		defer cancel()
		serve(a.Handler(), request{method: http.MethodPost, path: "/bookings", body: `{"A":2}`, ctx: ctx})
		lost := startRequest(a.Handler(), request{method: http.MethodPost, path: "/bookings", body: `{"A":3}`})
		synctest.Wait()
		a.Crash()
		assert.Equal(t, <-lost, statusAborted)
		time.Sleep(time.Minute)
		h := b.Handler()
		assert.Equal(t, get(h, "/bookings").Body.String(), `[{"Body":{"A":1},"TimesRun":2},{"Body":{"A":2},"TimesRun":1}]`+"\n")
		assert.Equal(t, get(h, "/balances/parish").Body.String(), get(a.Handler(), "/balances/parish").Body.String())
		var seen []emulator.RequestRecord
		assert.NilError(t, json.Unmarshal(get(h, "/seen").Body.Bytes(), &seen))
		assert.Equal(t, len(seen), 3, "routes for tests must not be logged")
	})
}

// Guards against log entries without the data that checks for leaked API keys and wrong routes need.
func TestRequestLog(t *testing.T) {
	ledger := emulator.NewLedger(emulator.LedgerConfig{})
	h := ledger.Handler()
	body := `{"model":"m@1","prompt":"` + strings.Repeat("p", 200) + `"}`
	serve(h, request{method: http.MethodPost, path: "/bookings?k=v", body: body,
		header: map[string]string{"X-Request-Id": "r1", "Authorization": "Bearer gl-1"}})
	seen := ledger.SeenRequests()[0]
	assert.Equal(t, seen.Header.Get("Authorization"), "Bearer gl-1")
	seen.Header = nil
	assert.DeepEqual(t, seen, emulator.RequestRecord{RequestID: "r1", Method: http.MethodPost, Path: "/bookings", Query: "k=v",
		Model: "m@1", Prompt: strings.Repeat("p", 80)})
}

// Guards against a change of the list becoming visible too early, or never.
func TestVMListLag(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		list := emulator.NewVMList(emulator.VMListConfig{Lag: 2 * time.Second})
		h := list.Handler()
		const vm = `{"Vm":"s1","Address":"10.0.0.7:7000","FailureDomain":"a","Role":"sidecar"}`
		assert.Equal(t, post(h, "/vms", vm).Code, http.StatusNoContent)
		assert.Equal(t, post(h, "/vms", `{}`).Code, http.StatusBadRequest)
		shows := func(want string) { t.Helper(); assert.Equal(t, get(h, "/vms").Body.String(), want+"\n") }
		const group = `[{"targets":["10.0.0.7:7000"],"labels":{"Vm":"s1","FailureDomain":"a","State":"%s","Role":"sidecar"}}]`
		shows("[]")
		time.Sleep(2*time.Second - time.Nanosecond)
		shows("[]")
		time.Sleep(time.Nanosecond)
		shows(fmt.Sprintf(group, "live"))
		list.Register(emulator.RegisteredVM{VM: "s1", Address: "10.0.0.7:7000", FailureDomain: "a", Role: "sidecar", State: "leaving"})
		list.SetFaults(emulator.Faults{Lag: emulator.Duration(time.Minute)})
		time.Sleep(59 * time.Second)
		shows(fmt.Sprintf(group, "live"))
		time.Sleep(time.Second)
		shows(fmt.Sprintf(group, "leaving"))
		list.SetFaults(emulator.Faults{})
		assert.Equal(t, serve(h, request{method: http.MethodDelete, path: "/vms/s1"}).Code, http.StatusNoContent)
		time.Sleep(2 * time.Second)
		shows("[]")
	})
}

// Guards against wrong load times: up to 8 concurrent loads take 0.25 s each; more share the same total throughput.
func TestWeightsTiming(t *testing.T) {
	for _, test := range []struct {
		name string
		// starts and ends are in milliseconds.
		starts, ends []int
	}{
		{"one", []int{0}, []int{250}},
		{"eight", []int{0, 0, 0, 0, 0, 0, 0, 0}, []int{250, 250, 250, 250, 250, 250, 250, 250}},
		{"sixteen", make([]int, 16), []int{500, 500, 500, 500, 500, 500, 500, 500, 500, 500, 500, 500, 500, 500, 500, 500}},
		// Eight loads have 50 ms left when eight more start. They need 100 ms for it at half speed. The other eight have
		// received 50 ms by then and need 200 ms at full speed for the rest.
		{"overlap", []int{0, 0, 0, 0, 0, 0, 0, 0, 200, 200, 200, 200, 200, 200, 200, 200},
			[]int{300, 300, 300, 300, 300, 300, 300, 300, 500, 500, 500, 500, 500, 500, 500, 500}},
	} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				weights := emulator.NewWeights(emulator.WeightsConfig{Size: 10})
				h := weights.Handler()
				began := time.Now()
				ends := make([]int, len(test.starts))
				done := make(chan struct{})
				for i, at := range test.starts {
					go func() {
						time.Sleep(time.Duration(at) * time.Millisecond)
						if recorder := get(h, "/weights/a"); recorder.Code == http.StatusOK && recorder.Body.Len() == 10 {
							ends[i] = int(time.Since(began).Round(time.Millisecond) / time.Millisecond)
						}
						done <- struct{}{}
					}()
				}
				for range test.starts {
					<-done
				}
				assert.DeepEqual(t, ends, test.ends)
				assert.Equal(t, weights.Stats(), emulator.WeightStats{Started: len(ends), Finished: len(ends), MostInFlight: len(ends)})
			})
		})
	}
}

// Guards against loads exceeding the rate: a burst of one second's loads is allowed, and then the rate.
func TestWeightsRate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		weights := emulator.NewWeights(emulator.WeightsConfig{Rate: 3, LoadTime: time.Nanosecond})
		h := weights.Handler()
		for range 10 {
			get(h, "/weights/a")
		}
		assert.Equal(t, weights.Stats().Started, 3)
		assert.Equal(t, get(h, "/weights/a").Code, http.StatusTooManyRequests)
		time.Sleep(time.Second)
		for range 10 {
			get(h, "/weights/a")
		}
		assert.Equal(t, weights.Stats().Started, 6)
	})
}

// Guards against the emulator accepting requests that the real table service rejects.
func TestTableRejectsInvalidRequests(t *testing.T) {
	table := emulator.NewTable(emulator.TableConfig{})
	h := table.Handler()
	const item = `"Item":{"Pk":{"S":"a"},"Sk":{"S":"b"},"Data":{"S":""},"Mark":{"S":""},"Version":{"N":"1"}}`
	for _, test := range []struct{ operation, body, want string }{
		{"PutItem", `{"TableName":"geraniumladder","ConditionExpression":"attribute_not_exists(Pk)",` + item + `}`, "{}"},
		{"PutItem", `{"TableName":"geraniumladder","ConditionExpression":"attribute_not_exists(Pk)",` + item + `}`, "ConditionalCheckFailedException"},
		{"PutItem", `{"TableName":"geraniumladder",` + item + `}`, "ValidationException"},
		{"PutItem", `{"TableName":"other","ConditionExpression":"attribute_not_exists(Pk)",` + item + `}`, "ResourceNotFoundException"},
		{"PutItem", `{"TableName":"geraniumladder","ConditionExpression":"Version = :v","ExpressionAttributeValues":{":v":{"N":"1"}},` + item + `}`, "ValidationException"},
		{"Query", `{"TableName":"geraniumladder","KeyConditionExpression":"begins_with(Sk, :s)"}`, "ValidationException"},
		{"UpdateItem", `{}`, "UnknownOperationException"},
	} {
		recorder := serve(h, request{method: http.MethodPost, path: "/", body: test.body,
			header: map[string]string{"X-Amz-Target": "DynamoDB_20120810." + test.operation}})
		assert.Assert(t, strings.Contains(recorder.Body.String(), test.want), "%s: %s", test.operation, recorder.Body)
	}
}

// Guards against a crash of the object store losing its objects.
func TestCrashKeepsObjects(t *testing.T) {
	objects := emulator.NewObjects(emulator.ObjectsConfig{})
	h := objects.Handler()
	assert.Equal(t, serve(h, request{method: http.MethodPut, path: "/objects/b/k", body: "x"}).Code, http.StatusOK)
	assert.Equal(t, post(h, "/faults/crash", "").Code, http.StatusNoContent)
	assert.Equal(t, get(h, "/objects/b/k").Body.String(), "x")
}

// Guards against a subcommand that does not print its address, rejects its flags, or does not stop when its context is
// cancelled.
func TestCommands(t *testing.T) {
	for _, args := range [][]string{
		{"platform", "--lag", "1s"}, {"table", "--write-rate", "500"}, {"objects"}, {"weights", "--size", "7"},
		{"vms"}, {"engine", "--slots", "2", "--resident", "a@1"}, {"ledger", "--work-time", "1ms"},
	} {
		t.Run(args[0], func(t *testing.T) {
			ctx, cancel := context.WithCancel(t.Context())
			defer cancel()
			reader, writer := io.Pipe()
			command := emulator.Commands()
			command.Writer = writer
			done := make(chan error, 1)
			go func() { done <- command.Run(ctx, append([]string{"standin"}, args...)) }()
			line, err := bufio.NewReader(reader).ReadBytes('\n')
			assert.NilError(t, err)
			var ready struct{ Listen string }
			assert.NilError(t, json.Unmarshal(line, &ready))
			response, err := http.Get(ready.Listen + "/faults")
			assert.NilError(t, err)
			assert.NilError(t, response.Body.Close())
			assert.Equal(t, response.StatusCode, http.StatusOK)
			cancel()
			assert.NilError(t, <-done)
		})
	}
}
