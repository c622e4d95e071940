package settings

import (
	"net"
	"net/url"
	"strconv"
	"time"

	"github.com/rotisserie/eris"
	"gopkg.in/ini.v1"
)

// Daemon holds the settings of an entry host that reads a manifest; EntryHost
// holds those of an entry host on the platform. Each field's comment starts with
// its key in the file.
type Daemon struct {
	// [host]
	Host        string // name: name of this entry host
	DataCentre  string // data_centre: data centre of this host
	Listen      string // listen: host:port for callers
	AdminListen string // admin_listen: host:port for admin, metrics and health endpoints
	LogLevel    string // log_level: debug, info, warn or error
	MemoryMB    int    // memory_mb: memory limit of this host in MB
	Descriptors int    // fds: descriptors that this host may have open; 0 for the limit of its process

	// [log]
	LogURL       string        // addr: base URL of the log service
	PollInterval time.Duration // poll_interval: interval of reads from the log service

	// [routing]
	RequestTimeout time.Duration // request_timeout: default and longest timeout of a request
	// attempt_timeout: time allowed for an idempotent request's first attempt
	// before a retry on a new connection; 0 disables the retry. The key is
	// accepted in the file but not read, so that the loaded value is 0.
	AttemptTimeout time.Duration
	MaxViewAge     time.Duration // view_lease: maximum age of the routing view for non-idempotent requests
	RetryAfter     time.Duration // retry_after: sent to callers whose request is refused for a temporary cause
	GrantTTL       time.Duration // grant_lease: TTL of a grant
	ProbeInterval  time.Duration // probe_interval: interval of health probes
	ProbeFailures  int           // probe_failures: consecutive failed probes after which an upstream is marked down
	SnapshotEvery  int           // snapshot_every: placement records between snapshots
	// snapshot_interval: longest time between snapshots. It must be well below
	// the log service's retention.
	SnapshotInterval time.Duration
	ShutdownGrace    time.Duration // shutdown_grace: how long a graceful shutdown waits for requests in flight

	// [hosts]
	HostListURL      string        // addr: base URL of the platform's host list, or "off"
	HostListInterval time.Duration // poll_interval: interval of reads of the host list

	// [membership]
	HeartbeatInterval time.Duration // heartbeat_interval: interval at which this host appends heartbeats
	HeartbeatTimeout  time.Duration // host_lease: time without a heartbeat after which a host counts as down
	HostsPerUpstream  int           // renewers: number of live hosts that renew each upstream's grants and probe it

	// [objectives]
	LatencyObjective time.Duration // latency: a request that takes longer counts as slow
}

// daemonSchema lists every allowed section and key with its default ("" means
// required).
var daemonSchema = map[string]map[string]string{
	"host": {"name": "", "data_centre": "", "listen": "", "admin_listen": "", "log_level": "info", "memory_mb": "284", "fds": "0"},
	"log":  {"addr": "", "poll_interval": "100ms"},
	"routing": {"request_timeout": "2s", "attempt_timeout": "250ms", "view_lease": "2s", "retry_after": "1s", "grant_lease": "1s",
		"probe_interval": "200ms", "probe_failures": "3", "snapshot_every": "64", "snapshot_interval": "1m", "shutdown_grace": "10s"},
	"hosts":      {"addr": HostListOff, "poll_interval": "1s"},
	"membership": {"heartbeat_interval": "1s", "host_lease": "5s", "renewers": "2"},
	"objectives": {"latency": "16ms"},
}

// LoadDaemon reads and validates the settings file at path.
func LoadDaemon(path string) (*Daemon, error) {
	file, err := ini.Load(path)
	if err != nil {
		return nil, eris.Wrapf(err, "settings %s", path)
	}
	d, err := daemonFromFile(file)
	return d, eris.Wrapf(err, "settings %s", path)
}

// ParseDaemon parses and validates settings from INI text.
func ParseDaemon(data []byte) (*Daemon, error) {
	file, err := ini.Load(data)
	if err != nil {
		return nil, eris.Wrap(err, "settings")
	}
	return daemonFromFile(file)
}

// reader reads values of a settings file and their defaults. It keeps the first
// error in err; all reads after it return zero values.
type reader struct {
	file   *ini.File
	schema map[string]map[string]string
	err    error
}

func (r *reader) str(section, key string) string {
	if r.err != nil {
		return ""
	}
	v := r.file.Section(section).Key(key).String()
	if v == "" {
		v = r.schema[section][key]
	}
	if v == "" {
		r.err = eris.Errorf("[%s] %s is required", section, key)
	}
	return v
}

func (r *reader) duration(section, key string) time.Duration {
	v := r.str(section, key)
	if r.err != nil {
		return 0
	}
	d, err := time.ParseDuration(v)
	if err != nil || d <= 0 {
		r.err = eris.Errorf("[%s] %s = %q: want a positive duration such as 500ms or 2s", section, key, v)
	}
	return d
}

func (r *reader) positiveInt(section, key string) int {
	v := r.str(section, key)
	if r.err != nil {
		return 0
	}
	n, err := strconv.Atoi(v)
	if err != nil || n < 1 {
		r.err = eris.Errorf("[%s] %s = %q: want an integer of 1 or more", section, key, v)
	}
	return n
}

func (r *reader) hostPort(section, key string) string {
	v := r.str(section, key)
	if r.err != nil {
		return ""
	}
	if _, _, err := net.SplitHostPort(v); err != nil {
		r.err = eris.Errorf("[%s] %s = %q: want host:port", section, key, v)
	}
	return v
}

func (r *reader) baseURL(section, key string) string {
	v := r.str(section, key)
	if r.err != nil {
		return ""
	}
	u, err := url.Parse(v)
	if err != nil || (u.Scheme != "http" && u.Scheme != "https") || u.Host == "" {
		r.err = eris.Errorf("[%s] %s = %q: want a URL such as http://127.0.0.1:7000", section, key, v)
	}
	return v
}

// HostListOff is the value of [hosts] addr that disables reading the host list.
const HostListOff = "off"

func (r *reader) optionalURL(section, key string) string {
	if r.str(section, key) == HostListOff {
		return HostListOff
	}
	return r.baseURL(section, key)
}

// rejectUnknownKeys returns an error for a section or key that is not in the schema.
func rejectUnknownKeys(file *ini.File, schema map[string]map[string]string) error {
	for _, sec := range file.Sections() {
		if sec.Name() == ini.DefaultSection {
			if len(sec.Keys()) > 0 {
				return eris.Errorf("key %q is outside any section", sec.Keys()[0].Name())
			}
			continue
		}
		keys, ok := schema[sec.Name()]
		if !ok {
			return eris.Errorf("unknown section [%s]", sec.Name())
		}
		for _, k := range sec.Keys() {
			if _, ok := keys[k.Name()]; !ok {
				return eris.Errorf("[%s] unknown key %q", sec.Name(), k.Name())
			}
		}
	}
	return nil
}

var logLevels = map[string]bool{"debug": true, "info": true, "warn": true, "error": true}

func daemonFromFile(file *ini.File) (*Daemon, error) {
	if err := rejectUnknownKeys(file, daemonSchema); err != nil {
		return nil, err
	}
	r := &reader{file: file, schema: daemonSchema}
	d := &Daemon{
		Host:             r.str("host", "name"),
		DataCentre:       r.str("host", "data_centre"),
		Listen:           r.hostPort("host", "listen"),
		AdminListen:      r.hostPort("host", "admin_listen"),
		LogLevel:         r.str("host", "log_level"),
		MemoryMB:         r.positiveInt("host", "memory_mb"),
		Descriptors:      r.nonNegativeInt("host", "fds"),
		LogURL:           r.baseURL("log", "addr"),
		PollInterval:     r.duration("log", "poll_interval"),
		RequestTimeout:   r.duration("routing", "request_timeout"),
		MaxViewAge:       r.duration("routing", "view_lease"),
		RetryAfter:       r.duration("routing", "retry_after"),
		GrantTTL:         r.duration("routing", "grant_lease"),
		ProbeInterval:    r.duration("routing", "probe_interval"),
		ProbeFailures:    r.positiveInt("routing", "probe_failures"),
		SnapshotEvery:    r.positiveInt("routing", "snapshot_every"),
		SnapshotInterval: r.duration("routing", "snapshot_interval"),
		ShutdownGrace:    r.duration("routing", "shutdown_grace"),

		HostListURL:       r.optionalURL("hosts", "addr"),
		HostListInterval:  r.duration("hosts", "poll_interval"),
		HeartbeatInterval: r.duration("membership", "heartbeat_interval"),
		HeartbeatTimeout:  r.duration("membership", "host_lease"),
		HostsPerUpstream:  r.positiveInt("membership", "renewers"),

		LatencyObjective: r.duration("objectives", "latency"),
	}
	if r.err != nil {
		return nil, r.err
	}
	if !logLevels[d.LogLevel] {
		return nil, eris.Errorf("[host] log_level = %q: want debug, info, warn or error", d.LogLevel)
	}
	if d.MaxViewAge < d.GrantTTL {
		return nil, eris.Errorf("[routing] view_lease %s is shorter than grant_lease %s", d.MaxViewAge, d.GrantTTL)
	}
	return d, nil
}
