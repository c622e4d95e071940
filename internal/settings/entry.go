package settings

import (
	"strconv"
	"time"

	"github.com/rotisserie/eris"
	"gopkg.in/ini.v1"
)

// EntryHost holds the settings of an entry host on the platform, which renders
// them from the template deploy/entry.ini. Each field's comment starts with its
// key in the file.
type EntryHost struct {
	// [host]
	Host          string // name: name of this host
	DataCentre    string // data_centre: data centre of this host
	Listen        string // listen: host:port for callers
	ReadyListen   string // ready_listen: host:port of the platform's readiness check
	PeerListen    string // peer_listen: host:port for the other entry hosts
	MetricsListen string // metrics_listen: host:port of the metrics endpoint
	LogLevel      string // log_level: debug, info, warn or error
	MemoryMB      int    // memory_mb: memory limit of this host in MB
	Descriptors   int    // fds: descriptors that this host may have open; 0 for the limit of its process
	FirstStart    bool   // first_start: whether the whole fleet is starting for the first time
	// cpu_share: CPU cores available to this host; link_mbps: bandwidth of its
	// network link in Mbit/s.
	CPUCores, LinkMbps float64

	// [log]
	LogServiceAddr string        // addr: host:port of the log service
	MinLeaseTTL    time.Duration // seat_min: shortest TTL of the planner lease that the log service accepts

	// [bounds], all set by the platform
	MaxGrantTTL       time.Duration // hold_max: longest grant TTL that an upstream accepts
	ShutdownGrace     time.Duration // grace: time from the stop signal to the kill signal
	RetryBudgetRatio  float64       // repeat_ratio: retries allowed per request, across all hosts
	RetryBudgetSlack  float64       // repeat_slack: retries allowed in addition, across all hosts
	RetryBudgetWindow time.Duration // repeat_window: window over which both are counted
	// slow_start_factor and slow_start_slack: in any one-second window, a cold
	// upstream may be sent its rate limit times the factor, plus the slack.
	SlowStartFactor, SlowStartSlack float64
	EvacuationTimeout               time.Duration // evacuate: longest time from a data centre's evacuation order to the last request sent there

	DrainTimeout time.Duration // drain: longest time from an upstream's report that it is leaving to the last request sent to it

	// [ownership]
	GrantTTL      time.Duration // hold: TTL of a grant
	MaxRenewalAge time.Duration // view_age: how long the planner renews grants after the last renewal of its lease
}

// entryHostSchema lists every allowed section and key with its default ("" means
// required).
var entryHostSchema = map[string]map[string]string{
	"host": {"name": "", "data_centre": "", "listen": "", "ready_listen": "", "peer_listen": "", "metrics_listen": "",
		"log_level": "info", "memory_mb": "284", "fds": "0", "cpu_share": "1", "link_mbps": "1000",
		"first_start": "false"},
	"log": {"addr": "", "seat_min": "1s"},
	"bounds": {"hold_max": "10s", "grace": "6s", "repeat_ratio": "0.2", "repeat_slack": "0", "repeat_window": "10s",
		"slow_start_factor": "1", "slow_start_slack": "0", "evacuate": "5s", "drain": "2s"},
	"ownership": {"hold": "3s", "view_age": "6s"},
}

// LoadEntryHost reads and validates the settings file of an entry host.
func LoadEntryHost(path string) (*EntryHost, error) {
	file, err := ini.Load(path)
	if err != nil {
		return nil, eris.Wrapf(err, "settings %s", path)
	}
	e, err := entryHostFromFile(file)
	return e, eris.Wrapf(err, "settings %s", path)
}

// ParseEntryHost parses and validates settings from INI text.
func ParseEntryHost(data []byte) (*EntryHost, error) {
	file, err := ini.Load(data)
	if err != nil {
		return nil, eris.Wrap(err, "settings")
	}
	return entryHostFromFile(file)
}

func entryHostFromFile(file *ini.File) (*EntryHost, error) {
	if err := rejectUnknownKeys(file, entryHostSchema); err != nil {
		return nil, err
	}
	r := &reader{file: file, schema: entryHostSchema}
	e := &EntryHost{
		Host:              r.str("host", "name"),
		DataCentre:        r.str("host", "data_centre"),
		Listen:            r.hostPort("host", "listen"),
		ReadyListen:       r.hostPort("host", "ready_listen"),
		PeerListen:        r.hostPort("host", "peer_listen"),
		MetricsListen:     r.hostPort("host", "metrics_listen"),
		LogLevel:          r.str("host", "log_level"),
		MemoryMB:          r.positiveInt("host", "memory_mb"),
		Descriptors:       r.nonNegativeInt("host", "fds"),
		FirstStart:        r.boolean("host", "first_start"),
		CPUCores:          r.nonNegativeFloat("host", "cpu_share"),
		LinkMbps:          r.nonNegativeFloat("host", "link_mbps"),
		LogServiceAddr:    r.hostPort("log", "addr"),
		MinLeaseTTL:       r.duration("log", "seat_min"),
		MaxGrantTTL:       r.duration("bounds", "hold_max"),
		ShutdownGrace:     r.duration("bounds", "grace"),
		RetryBudgetRatio:  r.nonNegativeFloat("bounds", "repeat_ratio"),
		RetryBudgetSlack:  r.nonNegativeFloat("bounds", "repeat_slack"),
		RetryBudgetWindow: r.duration("bounds", "repeat_window"),
		SlowStartFactor:   r.nonNegativeFloat("bounds", "slow_start_factor"),
		SlowStartSlack:    r.nonNegativeFloat("bounds", "slow_start_slack"),
		EvacuationTimeout: r.duration("bounds", "evacuate"),
		DrainTimeout:      r.duration("bounds", "drain"),
		GrantTTL:          r.duration("ownership", "hold"),
		MaxRenewalAge:     r.duration("ownership", "view_age"),
	}
	if r.err != nil {
		return nil, r.err
	}
	if !logLevels[e.LogLevel] {
		return nil, eris.Errorf("[host] log_level = %q: want debug, info, warn or error", e.LogLevel)
	}
	if e.GrantTTL > e.MaxGrantTTL {
		return nil, eris.Errorf("[ownership] hold %s exceeds [bounds] hold_max %s", e.GrantTTL, e.MaxGrantTTL)
	}
	return e, nil
}

// boolean reads a Boolean value.
func (r *reader) boolean(section, key string) bool {
	v := r.str(section, key)
	if r.err != nil {
		return false
	}
	b, err := strconv.ParseBool(v)
	if err != nil {
		r.err = eris.Errorf("[%s] %s = %q: want true or false", section, key, v)
	}
	return b
}

// nonNegativeInt reads an integer of 0 or more.
func (r *reader) nonNegativeInt(section, key string) int {
	v := r.str(section, key)
	if r.err != nil {
		return 0
	}
	n, err := strconv.Atoi(v)
	if err != nil || n < 0 {
		r.err = eris.Errorf("[%s] %s = %q: want an integer of 0 or more", section, key, v)
	}
	return n
}

// nonNegativeFloat reads a number of 0 or more.
func (r *reader) nonNegativeFloat(section, key string) float64 {
	v := r.str(section, key)
	if r.err != nil {
		return 0
	}
	x, err := strconv.ParseFloat(v, 64)
	if err != nil || x < 0 {
		r.err = eris.Errorf("[%s] %s = %q: want a number of 0 or more", section, key, v)
	}
	return x
}
