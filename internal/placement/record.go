package placement

import (
	"encoding/json"

	"github.com/rotisserie/eris"
)

// Record kinds in the placement stream.
const (
	// KindMembers states the members of one service in one data centre.
	KindMembers = "members"
	// KindSnapshot restates every (service, data centre) state with its epoch, so
	// that a reader that starts after older records have expired still gets the
	// whole placement.
	KindSnapshot = "snapshot"
)

// Record is one record of the placement stream, JSON-encoded.
type Record struct {
	Kind string `json:"kind"`
	// State is set for KindMembers.
	State *State `json:"state,omitempty"`
	// States is set for KindSnapshot.
	States []State `json:"states,omitempty"`
	// By is the entry host or operator that wrote the record.
	By string `json:"by"`
	// Nonce identifies the record, for a writer that lost the response to its
	// append and reads the stream to find out whether it was written.
	Nonce uint64 `json:"nonce"`
}

// State is the placement of one service in one data centre.
type State struct {
	Service    string `json:"service"`
	DataCentre string `json:"data_centre"`
	// Members are the upstreams that may own shards, sorted by name.
	Members []string `json:"members"`
	// Drained are the upstreams that an operator has excluded from Members. Only the
	// operator ends the exclusion (drain --undo); removing an upstream from the
	// manifest and listing it again does not.
	Drained []string `json:"drained,omitempty"`
	// Epoch is the offset of the record that set this state. The reader fills it in
	// for KindMembers; a snapshot carries it.
	Epoch int64 `json:"epoch"`
}

// Key returns the state's key, "service/data centre".
func (s *State) Key() string { return s.Service + "/" + s.DataCentre }

// Encode returns the record as JSON.
func (r *Record) Encode() ([]byte, error) {
	b, err := json.Marshal(r)
	return b, eris.Wrap(err, "placement: encode record")
}

// DecodeRecord parses a placement record. It returns an error if the kind is
// unknown or a members record has no service or data centre.
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
