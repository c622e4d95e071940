package cli

import (
	"bytes"
	"context"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/papayatide/papayatide/rpc/peerpb"
)

// stubPeer is a peer whose Status returns a fixed reply.
type stubPeer struct{ reply *peerpb.StatusReply }

func (p stubPeer) Follow(context.Context, *peerpb.FollowRequest) (*peerpb.FollowReply, error) {
	return &peerpb.FollowReply{}, nil
}

func (p stubPeer) Status(context.Context, *peerpb.StatusRequest) (*peerpb.StatusReply, error) {
	return p.reply, nil
}

func (p stubPeer) Admit(context.Context, *peerpb.AdmitRequest) (*peerpb.AdmitReply, error) {
	return &peerpb.AdmitReply{}, nil
}

func (p stubPeer) Retire(context.Context, *peerpb.RetireRequest) (*peerpb.RetireReply, error) {
	return &peerpb.RetireReply{}, nil
}

func (p stubPeer) RelayGrant(context.Context, *peerpb.RelayGrantRequest) (*peerpb.RelayGrantReply, error) {
	return &peerpb.RelayGrantReply{}, nil
}

// status --peer must print a host's role, the age of its view, the owners with their
// fencing tokens, lost owners and the last change with its cause. If a host is
// unreachable, the command must fail and name it.
func TestPeerStatus(t *testing.T) {
	srv := httptest.NewServer(peerpb.NewPeerServer(stubPeer{&peerpb.StatusReply{Host: "front-1", DataCentre: "north", Follows: "10.0.0.9:7540",
		ViewAgeMs: 120, Version: 7, Hosts: 12,
		Services: []*peerpb.ServiceStatus{{Name: "sheets", Term: 2, Fence: 9, Planner: "front-3", Lost: []string{"i-b"},
			Ranges: []*peerpb.OwnedRange{{From: 0, To: 99, Owner: "i-a", Fence: 9}, {From: 100, To: 65535, Fence: 4}}}},
		Changes: []*peerpb.OwnershipChange{{AgeMs: 2500, Service: "sheets", Term: 2, Fence: 9, Keys: 100, Cause: "owner lost"}}}}))
	defer srv.Close()
	addr := strings.TrimPrefix(srv.URL, "http://")
	var out, errOut bytes.Buffer
	cmd := Command()
	cmd.SetOut(&out)
	cmd.SetErr(&errOut)
	cmd.SetArgs([]string{"status", "-v", "--peer", addr + ",127.0.0.1:1"})
	err := cmd.Execute()
	if err == nil || !strings.Contains(err.Error(), "127.0.0.1:1") {
		t.Errorf("error %v, want one that names the unreachable host", err)
	}
	for _, want := range []string{"front-1 (north): follows 10.0.0.9:7540, view 120 ms old, desired state 7, 12 hosts",
		"sheets: term 2 of front-3, fence 9, 2 ranges, lost owners: i-b", "i-a", "100 keys in 1 ranges", "(nobody)", "0-99",
		"2.5 s ago", "owner lost"} {
		if !strings.Contains(out.String(), want) {
			t.Errorf("output lacks %q:\n%s", want, out.String())
		}
	}
}
