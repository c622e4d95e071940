package placement

import (
	"encoding/json"

	"github.com/rotisserie/eris"
)

// Record kinds in the placement stream.
const (
	// KindMembers states the members of one service in one data centre.
	KindMembers = "members"
	// KindSnapshot restates every (service, data centre) state with the
	// epoch it was set at, so a reader that starts after retention has
	// dropped older records still learns the whole placement.
	KindSnapshot = "snapshot"
)

// Record is one record of the placement stream, JSON-encoded.
type Record struct {
	Kind string `json:"kind"`
	// State is set for KindMembers.
	State *State `json:"state,omitempty"`
	// States is set for KindSnapshot.
	States []State `json:"states,omitempty"`
	// By names the entry host or operator that wrote the record.
	By string `json:"by"`
	// Nonce lets a writer whose append answer was lost recognise its
	// own record when it reads the stream back.
	Nonce uint64 `json:"nonce"`
}

// State is the placement of one service in one data centre.
type State struct {
	Service    string `json:"service"`
	DataCentre string `json:"data_centre"`
	// Members are the upstreams that own shards, sorted.
	Members []string `json:"members"`
	// Drained are upstreams an operator has stopped; they stay out of
	// Members until the manifest drops them.
	Drained []string `json:"drained,omitempty"`
	// Epoch is the offset of the record that set this state. It is filled
	// in by the reader for KindMembers and carried in snapshots.
	Epoch int64 `json:"epoch"`
}

// Key names the (service, data centre) a state is for.
func (s *State) Key() string { return s.Service + "/" + s.DataCentre }

// Encode returns the record as JSON.
func (r *Record) Encode() ([]byte, error) {
	b, err := json.Marshal(r)
	return b, eris.Wrap(err, "placement: encode record")
}

// DecodeRecord parses a placement record and checks its shape.
func DecodeRecord(data []byte) (*Record, error) {
	var r Record
	if err := json.Unmarshal(data, &r); err != nil {
		return nil, eris.Wrap(err, "placement: decode record")
	}
	switch {
	case r.Kind == KindMembers && r.State != nil && r.State.Service != "" && r.State.DataCentre != "":
	case r.Kind == KindSnapshot:
	default:
		return nil, eris.Errorf("placement: malformed record of kind %q", r.Kind)
	}
	return &r, nil
}
