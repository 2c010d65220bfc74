package resident

import (
	"bytes"
	"context"
	"encoding/json"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/labstack/echo/v4"
	"github.com/rs/zerolog"

	"geraniumladder/internal/receiver"
	"geraniumladder/internal/registrar"
	"geraniumladder/internal/wire"
	"geraniumladder/pkg/patcher"
)

const (
	// copyInterval is the interval at which newer tables are looked for at peers.
	copyInterval = 250 * time.Millisecond
	// copyTimeout limits the time without progress in a copy, see receiver.Config.
	copyTimeout = 800 * time.Millisecond
	// storeFailureThreshold is how long reads must have failed, or a large answer must have been arriving, before tables are
	// copied from peers. It outlasts a single rejected read and is short compared with the time within which a change must be
	// known. A process that has no table yet copies at once.
	storeFailureThreshold = 200 * time.Millisecond
	// maxCopyBytes limits the size of a copy.
	maxCopyBytes = 32 << 20
	// keptBases is the number of earlier values of a row that are kept as bases of patches.
	keptBases = 4

	tablePath = "/peer/tables/"
	// baseParameter is repeated in the query for each large row that the receiver has, as KEY:CHECKSUM. patchesParameter
	// states that the receiver takes patches.
	baseParameter    = "Base"
	patchesParameter = "Patches"
)

// copierConfig configures a copier.
type copierConfig struct {
	Followers []*registrar.Follower
	// PeersWithNewer returns the addresses of peers with a newer copy of the table, newest first.
	PeersWithNewer func(table string, than registrar.Position) []string
	// Dial is that of http.Transport.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
	Log  zerolog.Logger
}

// copier copies tables from other entries and serves copies to them. Large rows are sent as patches to an earlier value,
// so that a change of a large configuration is as small on the link as what it changes. There is one copy at a time.
type copier struct {
	config copierConfig
	client *http.Client
	// wake ends the wait for requests.
	wake chan struct{}

	mu sync.Mutex
	// requested are the peers from which tables are to be copied. A later request replaces one that is pending.
	requested map[*registrar.Follower]string
	// bases are the last values of large rows by key, at most keptBases of each and the latest last.
	bases map[string][]registrar.Row
}

func newCopier(c copierConfig) *copier {
	return &copier{
		config: c, client: &http.Client{Transport: &http.Transport{DialContext: c.Dial, DisableKeepAlives: true}},
		wake: make(chan struct{}, 1), requested: map[*registrar.Follower]string{}, bases: map[string][]registrar.Row{},
	}
}

// request asks for a copy from a peer that is known to have newer changes.
func (c *copier) request(f *registrar.Follower, address string) {
	c.mu.Lock()
	c.requested[f] = address
	c.mu.Unlock()
	select {
	case c.wake <- struct{}{}:
	default:
	}
}

// observe keeps the large values of a table as bases of later patches.
func (c *copier) observe(t registrar.Table) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for key, row := range t.Rows {
		kept := c.bases[key]
		if len(row.Value) < minPatchedBytes || len(kept) > 0 && bytes.Equal(kept[len(kept)-1].Value, row.Value) {
			continue
		}
		c.bases[key] = append(kept[max(0, len(kept)-keptBases+1):], row)
	}
	for key := range c.bases {
		if _, ok := t.Rows[key]; !ok {
			delete(c.bases, key)
		}
	}
}

// base returns the kept value of a row with the checksum; nil without one.
func (c *copier) base(key string, checksum uint32) []byte {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, row := range c.bases[key] {
		if patcher.Checksum(row.Value) == checksum {
			return row.Value
		}
	}
	return nil
}

// run copies tables until ctx ends.
func (c *copier) run(ctx context.Context) error {
	ticker := time.NewTicker(copyInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-c.wake:
			c.copyRequested(ctx)
		case <-ticker.C:
			c.copyNewer(ctx)
		}
	}
}

// copyRequested makes the requested copies. A follower whose peer doesn't answer reads by itself.
func (c *copier) copyRequested(ctx context.Context) {
	c.mu.Lock()
	requested := c.requested
	c.requested = map[*registrar.Follower]string{}
	c.mu.Unlock()
	for f, address := range requested {
		if !c.copy(ctx, f, address) {
			f.ReadNow()
		}
	}
}

// copyNewer copies newer tables from peers while the store doesn't answer this entry, or slowly.
func (c *copier) copyNewer(ctx context.Context) {
	for _, f := range c.config.Followers {
		f.DropCopied()
		at := f.Table().Position()
		if at.Version > 0 && max(f.FailingFor(), f.ReceivingFor()) < storeFailureThreshold {
			continue
		}
		for _, address := range c.config.PeersWithNewer(f.Name(), at) {
			if c.copy(ctx, f, address) {
				break
			}
		}
	}
}

// copy copies the table from the peer, and reports whether the peer has answered.
func (c *copier) copy(ctx context.Context, f *registrar.Follower, address string) bool {
	begin, table := time.Now(), f.Table()
	rows, size, err := c.fetch(ctx, address, f.Name(), table.Rows)
	if err != nil {
		c.config.Log.Warn().Err(err).Str("Peer", address).Str("Table", f.Name()).Msg("entry: table could not be copied from peer")
		return false
	}
	if f.Merge(rows, begin) {
		c.config.Log.Info().Str("Peer", address).Str("Table", f.Name()).Int64("From", table.Version).Int64("To", rows.Version).Int64("Era", rows.Era).
			Int("Bytes", size).Dur("After", time.Since(begin)).Strs("Retained", retainedKeys(rows)).Msg("entry: table copied from a peer")
	}
	return true
}

// fetch returns the peer's copy of a table and its size in bytes. Patches are applied to the rows that this entry has.
func (c *copier) fetch(ctx context.Context, address, table string, own map[string]registrar.Row) (registrar.Rows, int, error) {
	receiving := receiver.New(ctx, receiver.Config{First: copyTimeout, Step: copyTimeout})
	defer receiving.Close()
	query := url.Values{patchesParameter: {"true"}}
	for key, row := range own {
		if len(row.Value) >= minPatchedBytes {
			query.Add(baseParameter, key+":"+strconv.FormatUint(uint64(patcher.Checksum(row.Value)), 16))
		}
	}
	request, err := http.NewRequestWithContext(receiving.Context(), http.MethodGet, "http://"+address+tablePath+table+"?"+query.Encode(), nil)
	if err != nil {
		return registrar.Rows{}, 0, errors.Wrap(err, "fetch table from peer")
	}
	response, err := c.client.Do(request)
	if err != nil {
		return registrar.Rows{}, 0, errors.Wrap(receiving.Err(err), "fetch table from peer")
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return registrar.Rows{}, 0, errors.Newf("fetch table from peer: status %d", response.StatusCode)
	}
	content, err := receiving.ReadAll(response.Body, maxCopyBytes)
	if err != nil {
		return registrar.Rows{}, 0, errors.Wrap(err, "fetch table from peer")
	}
	var copied wire.TableCopy
	if err := json.Unmarshal(content, &copied); err != nil {
		return registrar.Rows{}, 0, errors.Wrap(err, "decode table from peer")
	}
	rows := registrar.Rows{Era: copied.Era, Version: copied.Version}
	for _, r := range append(copied.Rows, copied.Retained...) {
		rows.Rows = append(rows.Rows, decodeRow(r))
	}
	for _, p := range copied.Patches {
		r, err := decodePatch(p, own)
		if err != nil {
			return registrar.Rows{}, 0, errors.Wrap(err, "decode table from peer")
		}
		rows.Rows = append(rows.Rows, r)
	}
	return rows, len(content), nil
}

// retainedKeys returns the keys of the rows that a peer still uses although they are deleted.
func retainedKeys(rows registrar.Rows) []string {
	var keys []string
	for _, r := range rows.Rows {
		if r.IsDeleted {
			keys = append(keys, r.Key)
		}
	}
	return keys
}

// handler serves copies to the other entries.
func (c *copier) handler() http.Handler {
	router := echo.New()
	router.GET(tablePath+":table", func(e echo.Context) error {
		for _, f := range c.config.Followers {
			if f.Name() == e.Param("table") {
				return e.JSON(http.StatusOK, c.encode(f, e.QueryParams()))
			}
		}
		return echo.NewHTTPError(http.StatusNotFound, "there is no such table")
	})
	return router
}

// encode returns a copy of the table for the receiver that the query describes.
func (c *copier) encode(f *registrar.Follower, query url.Values) wire.TableCopy {
	rows := f.Copy()
	copied := wire.TableCopy{Table: f.Name(), Era: rows.Era, Version: rows.Version, Rows: make([]wire.TableRow, 0, len(rows.Rows))}
	bases := map[string]uint32{}
	for _, text := range query[baseParameter] {
		at := strings.LastIndexByte(text, ':')
		if checksum, err := strconv.ParseUint(text[at+1:], 16, 32); at > 0 && err == nil {
			bases[text[:at]] = uint32(checksum)
		}
	}
	for _, r := range rows.Rows {
		switch {
		case r.IsDeleted:
			copied.Retained = append(copied.Retained, encodeRow(r))
			continue
		case query.Has(patchesParameter) && len(r.Value) >= minPatchedBytes:
			patch, err := patcher.Encode(c.base(r.Key, bases[r.Key]), r.Value)
			if err == nil {
				copied.Patches = append(copied.Patches, encodePatch(r, patch))
				continue
			}
			c.config.Log.Warn().Err(err).Str("Key", r.Key).Msg("entry: row could not be encoded as a patch")
		}
		copied.Rows = append(copied.Rows, encodeRow(r))
	}
	return copied
}
