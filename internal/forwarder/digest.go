package forwarder

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"net/http"
)

// digestBytes is the length of a request's digest, of which entries exchange some tens.
const digestBytes = 8

// digestRequest returns a value that a request has in common with its repetitions: the caller's, which have the same key,
// target, body and prompt, and this entry's. The IDs and deadlines in their headers differ.
func digestRequest(r *http.Request, call *Call, body []byte) string {
	h := sha256.New()
	// Lengths and quotes keep the fields apart. A hash takes any number of bytes, and a list of texts can be encoded.
	_ = json.NewEncoder(h).Encode(append([]string{r.Method, r.Host, r.RequestURI, call.Key, call.Model.String()}, call.partIDs()...))
	_, _ = h.Write(body)
	return hex.EncodeToString(h.Sum(nil)[:digestBytes])
}
