package resident

import (
	"time"

	"geraniumladder/internal/registrar"
	"geraniumladder/internal/wire"
	"geraniumladder/pkg/relayer"
)

const (
	// operatorsReadsPerApplyTime is the number of reads of the operators' table within Tuning.ApplyTime by the entry that
	// reads for its failure domain. If that entry is lost, the others read within two such intervals.
	operatorsReadsPerApplyTime = 4
	// maxChangesBytes limits the values in one message of changes, so that its datagram fits.
	maxChangesBytes = 20 << 10
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
		for _, part := range c.Split(maxChangesBytes) {
			stamp := e.gossiper.NextStamp()
			m := wire.TableChanges{
				Boot: stamp.Boot, Sequence: stamp.Sequence, VM: e.config.VM, Table: table, From: part.From, Version: part.Rows.Version,
				AgeMilliseconds: part.Age.Milliseconds(),
				Rows:            make([]wire.TableRow, 0, len(part.Rows.Rows)),
			}
			for _, r := range part.Rows.Rows {
				m.Rows = append(m.Rows, encodeRow(r))
			}
			e.gossiper.Send(kindTableChanges, m, to...)
		}
	}
}

func (e *Entry) handleTableChanges(m wire.TableChanges) {
	c := registrar.Changes{
		From: m.From, Age: time.Duration(m.AgeMilliseconds) * time.Millisecond,
		Rows: registrar.Rows{Version: m.Version, Rows: make([]registrar.Row, 0, len(m.Rows))},
	}
	for _, r := range m.Rows {
		c.Rows.Rows = append(c.Rows.Rows, decodeRow(r))
	}
	for _, f := range []*registrar.Follower{e.operators, e.endpoints} {
		if f.Name() == m.Table {
			f.HandleRelayed(m.VM, c)
		}
	}
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
