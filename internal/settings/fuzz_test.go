package settings

import "testing"

// Any input must be rejected with an error or yield settings within their
// documented bounds, without a panic.
func FuzzParseEntry(f *testing.F) {
	f.Add([]byte("[host]\nname = h\ndata_centre = d\nlisten = 127.0.0.1:1\nready_listen = 127.0.0.1:2\npeer_listen = 127.0.0.1:3\nmetrics_listen = 127.0.0.1:4\n[log]\naddr = 127.0.0.1:5\n"))
	f.Add([]byte("[ownership]\nhold = 20s\n[bounds]\nhold_max = 10s\n"))
	f.Add([]byte("[host\nname"))
	f.Fuzz(func(t *testing.T, data []byte) {
		e, err := ParseEntryHost(data)
		if err != nil {
			return
		}
		if e.Host == "" || e.LogServiceAddr == "" || e.GrantTTL <= 0 || e.GrantTTL > e.MaxGrantTTL || e.RetryBudgetRatio < 0 {
			t.Errorf("accepted %+v", e)
		}
	})
}
