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
