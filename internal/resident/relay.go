package resident

import (
	"slices"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"

	"geraniumladder/internal/registrar"
	"geraniumladder/internal/wire"
	"geraniumladder/pkg/patcher"
	"geraniumladder/pkg/relayer"
)

const (
	// operatorsReadsPerApplyTime is the number of reads of the operators' table within Tuning.ApplyTime by the entry that
	// reads for its failure domain. If that entry is lost, the others read within two such intervals.
	operatorsReadsPerApplyTime = 4
	// maxChangesBytes limits the values in one message of changes, so that its datagram fits.
	maxChangesBytes = 20 << 10
	// minPatchedBytes is the size of a value from which it is sent as a patch. A patch of a smaller one saves little.
	minPatchedBytes = 2 << 10
	// maxRowBytes limits the value of a row that a patch makes.
	maxRowBytes = 8 << 20
)

// setRelayIntervals decides for each table whether the entries of this failure domain rely on one another's reads, which
// pays if one reader makes fewer calls than all of them.
func (e *Entry) setRelayIntervals() {
	entries := 1 + len(e.sharer.DomainPeers())
	tuning := e.tuning.Load()
	e.endpoints.SetRelayInterval(relayer.SharedInterval(entries, endpointsPollInterval(*tuning), endpointsPollInterval(*tuning)))
	e.operators.SetRelayInterval(relayer.SharedInterval(entries, operatorsWait(*tuning), tuning.ApplyTime/operatorsReadsPerApplyTime))
}

const (
	// domainPeriod is the interval at which an entry states in its demands that it forwards states, and domainWindow the
	// part of it in which it does. The window contains a message to each sidecar, as does the time after a change.
	domainPeriod = 5 * idleDemandInterval
	domainWindow = idleDemandInterval + demandInterval
)

// domainNotice decides in which demands an entry states the failure domain in which it forwards states. The name would be
// a third of the bytes of an idle demand. It is an immutable value.
type domainNotice struct {
	domain    string
	changedAt time.Duration
}

// with returns the domain to be stated at the time since the start of the process; nil if it is left out.
func (n domainNotice) with(domain string, now time.Duration) (domainNotice, *string) {
	if domain != n.domain {
		n = domainNotice{domain: domain, changedAt: now}
	}
	if now%domainPeriod >= domainWindow && now-n.changedAt > 2*domainWindow {
		return n, nil
	}
	return n, &domain
}

// relayDomain returns the domain to be stated in demands at present; nil if it is left out.
func (e *Entry) relayDomain() *string {
	e.domainMu.Lock()
	defer e.domainMu.Unlock()
	var stated *string
	e.domainNotice, stated = e.domainNotice.with(e.sharer.RelayDomain(), time.Since(e.start))
	return stated
}

// relay returns the function that passes changes of the table on to the entries of this failure domain.
func (e *Entry) relay(table string) func(registrar.Changes) {
	return func(c registrar.Changes) {
		to := e.sharer.DomainPeers()
		if len(to) == 0 {
			return
		}
		c, patches := patchLargeRows(c, e.log)
		for _, part := range c.Split(maxChangesBytes) {
			stamp := e.gossiper.NextStamp()
			m := encodeChanges(part, patches)
			m.Boot, m.Sequence, m.VM, m.Table = stamp.Boot, stamp.Sequence, e.config.VM, table
			e.gossiper.Send(kindTableChanges, m, to...)
		}
	}
}

// rowVersion identifies one version of a row.
type rowVersion struct {
	key     string
	version int64
}

// patchLargeRows replaces large values by the frames of their patches, so that they count with their size in a message. It
// returns the patches by the versions of their rows.
func patchLargeRows(c registrar.Changes, log zerolog.Logger) (registrar.Changes, map[rowVersion]patcher.Patch) {
	var patches map[rowVersion]patcher.Patch
	for i, r := range c.Rows.Rows {
		if r.IsDeleted || len(r.Value) < minPatchedBytes {
			continue
		}
		patch, err := patcher.Encode(c.Previous[r.Key].Value, r.Value)
		if err != nil {
			log.Warn().Err(err).Str("Key", r.Key).Msg("entry: row could not be encoded as a patch")
			continue
		}
		if patches == nil {
			patches, c.Rows.Rows = map[rowVersion]patcher.Patch{}, slices.Clone(c.Rows.Rows)
		}
		patches[rowVersion{key: r.Key, version: r.Version}] = patch
		c.Rows.Rows[i].Value = patch.Frame
	}
	return c, patches
}

// encodeChanges encodes changes of which patchLargeRows has returned the patches.
func encodeChanges(c registrar.Changes, patches map[rowVersion]patcher.Patch) wire.TableChanges {
	m := wire.TableChanges{
		Era: c.Rows.Era, From: c.From, Version: c.Rows.Version, AgeMilliseconds: c.Age.Milliseconds(), MustCopy: c.MustCopy, Rows: make([]wire.TableRow, 0, len(c.Rows.Rows)),
	}
	for _, r := range c.Rows.Rows {
		if patch, isPatched := patches[rowVersion{key: r.Key, version: r.Version}]; isPatched {
			m.Patches = append(m.Patches, encodePatch(r, patch))
			continue
		}
		m.Rows = append(m.Rows, encodeRow(r))
	}
	if len(m.Patches) > 0 {
		m.From, m.PatchFrom = m.Version, c.From
	}
	return m
}

// handleTableChanges applies changes that the entry at the address has read.
func (e *Entry) handleTableChanges(m wire.TableChanges, from string) {
	for _, f := range []*registrar.Follower{e.operators, e.endpoints} {
		if f.Name() != m.Table {
			continue
		}
		c, err := decodeChanges(m, f.Table().Rows)
		if err != nil {
			// The copy brings the same changes, from another base.
			e.log.Debug().Err(err).Str("Peer", from).Str("Table", m.Table).Msg("entry: relayed changes are copied instead")
		}
		if f.HandleRelayed(m.VM, c) {
			e.copier.request(f, from)
		}
	}
}

// decodeChanges returns the changes in a message for a copy of the table with these rows. Those that don't apply to it have
// to be copied.
func decodeChanges(m wire.TableChanges, rows map[string]registrar.Row) (registrar.Changes, error) {
	c := registrar.Changes{
		From: m.From, Age: time.Duration(m.AgeMilliseconds) * time.Millisecond, MustCopy: m.MustCopy,
		Rows: registrar.Rows{Era: m.Era, Version: m.Version, Rows: make([]registrar.Row, 0, len(m.Rows)+len(m.Patches))},
	}
	for _, r := range m.Rows {
		c.Rows.Rows = append(c.Rows.Rows, decodeRow(r))
	}
	for _, p := range m.Patches {
		r, err := decodePatch(p, rows)
		if err != nil {
			return registrar.Changes{From: m.Version, Age: c.Age, Rows: registrar.Rows{Era: m.Era, Version: m.Version}, MustCopy: true}, err
		}
		c.Rows.Rows = append(c.Rows.Rows, r)
	}
	if len(m.Patches) > 0 {
		c.From = m.PatchFrom
	}
	return c, nil
}

func encodeRow(r registrar.Row) wire.TableRow {
	return wire.TableRow{
		Key: r.Key, Value: r.Value, Version: r.Version, IsDeleted: r.IsDeleted, RetainedMilliseconds: r.RetainedFor.Milliseconds(),
	}
}

func decodeRow(r wire.TableRow) registrar.Row {
	return registrar.Row{
		Key: r.Key, Value: r.Value, Version: r.Version, IsDeleted: r.IsDeleted,
		RetainedFor: time.Duration(r.RetainedMilliseconds) * time.Millisecond,
	}
}

func encodePatch(r registrar.Row, p patcher.Patch) wire.RowPatch {
	return wire.RowPatch{Key: r.Key, Version: r.Version, BaseChecksum: int64(p.BaseChecksum), Checksum: int64(p.Checksum), Frame: p.Frame}
}

// decodePatch returns the row that the patch makes from one of the rows.
func decodePatch(p wire.RowPatch, rows map[string]registrar.Row) (registrar.Row, error) {
	var base []byte
	if p.BaseChecksum != 0 {
		base = rows[p.Key].Value
	}
	patch := patcher.Patch{BaseChecksum: uint32(p.BaseChecksum), Checksum: uint32(p.Checksum), Frame: p.Frame}
	value, err := patch.Apply(base, maxRowBytes)
	return registrar.Row{Key: p.Key, Value: value, Version: p.Version}, errors.Wrapf(err, "row %s", p.Key)
}
