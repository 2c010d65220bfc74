package router

import (
	"cmp"
	"net/http"
)

// refuse answers a request with a failure and counts it.
func (r *Router) refuse(w http.ResponseWriter, req *http.Request, cl *call, failure *callError) {
	organisation := ""
	if cl != nil {
		organisation = cl.organisation.Name
	}
	r.countFailure(organisation, failure)
	failure.write(w, requestID(req))
}

// finish logs and counts the end of a call. It sends a failure to the caller unless the response has started.
func (r *Router) finish(w http.ResponseWriter, req *http.Request, cl *call, started bool, failure *callError) {
	r.logRequestEnd(cl, failure)
	if failure == nil {
		r.config.Meter.Request(cl.organisation.Name, "ok")
		return
	}
	if started {
		r.countFailure(cl.organisation.Name, failure)
		return
	}
	r.refuse(w, req, cl, failure)
}

// countFailure counts a rejected or failed call in the metrics.
func (r *Router) countFailure(organisation string, failure *callError) {
	r.config.Meter.Refusal(organisation, cmp.Or(failure.reason, failure.code))
	r.config.Meter.Request(organisation, string(failure.outcome))
}

// logRequestEnd logs one line for each call that reached admission, without the key and the prompt.
func (r *Router) logRequestEnd(cl *call, failure *callError) {
	line := r.log.Debug()
	if !line.Enabled() {
		return
	}
	kind, outcome, answer := cl.method, "ok", 0
	if cl.model != nil {
		kind, answer = "Completion", cl.model.receivedTokens
		line = line.Bool("Stream", cl.model.stream)
	}
	if failure != nil {
		outcome = string(failure.outcome)
		line = line.Str("Code", failure.code)
	}
	//nolint:forbidigo // Logged only.
	line.Str("RequestId", cl.id).Int64("ArrivedMs", cl.arrived.UnixMilli()).Str("Kind", kind).
		Str("Organisation", cl.organisation.Name).Str("Route", cl.route.Name).Bool("Repeatable", cl.repeatable).
		Int("PromptTokens", cl.promptTokens).Int("AnswerTokens", answer).Int("MaxTokens", cl.answerTokens).
		Str("Outcome", outcome).Msg(requestEnded)
}
